package outbound

import (
	"math"
	"sync"
	"sync/atomic"
)

// sizeWeight is the weight of an answer in the mean length of a route's answers.
const sizeWeight = 0.1

// sizes keeps the mean length of the answers of each route, in bytes.
type sizes struct{ byRoute sync.Map }

// of returns the mean of a route, 0 before its first answer.
func (s *sizes) of(route string) float64 {
	v, ok := s.byRoute.Load(route)
	if !ok {
		return 0
	}
	return math.Float64frombits(v.(*atomic.Uint64).Load())
}

// add takes in an answer. Of two at the same time one may be lost.
func (s *sizes) add(route string, bytes int64) {
	v, ok := s.byRoute.Load(route)
	if !ok {
		v, _ = s.byRoute.LoadOrStore(route, new(atomic.Uint64))
	}
	bits := v.(*atomic.Uint64)
	mean := math.Float64frombits(bits.Load())
	if mean == 0 {
		mean = float64(bytes)
	}
	bits.Store(math.Float64bits(mean + sizeWeight*(float64(bytes)-mean)))
}
