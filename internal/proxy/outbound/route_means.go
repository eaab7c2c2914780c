package outbound

import (
	"math"
	"sync"
	"sync/atomic"
)

// routeMeanWeight is the weight of the latest response in a route's moving average.
const routeMeanWeight = 0.1

// routeMeans keeps a moving average of a property of the responses of each route.
type routeMeans struct{ byRoute sync.Map }

// mean returns the average of a route, 0 before its first response.
func (s *routeMeans) mean(route string) float64 {
	v, ok := s.byRoute.Load(route)
	if !ok {
		return 0
	}
	return math.Float64frombits(v.(*atomic.Uint64).Load())
}

// observe adds a response to the average. One of two concurrent updates may be lost.
func (s *routeMeans) observe(route string, value int64) {
	v, ok := s.byRoute.Load(route)
	if !ok {
		v, _ = s.byRoute.LoadOrStore(route, new(atomic.Uint64))
	}
	bits := v.(*atomic.Uint64)
	mean := math.Float64frombits(bits.Load())
	if mean == 0 {
		mean = float64(value)
	}
	bits.Store(math.Float64bits(mean + routeMeanWeight*(float64(value)-mean)))
}
