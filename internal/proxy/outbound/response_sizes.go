package outbound

import (
	"math"
	"sync"
	"sync/atomic"
)

// responseSizeWeight is the weight of the latest response in a route's moving average.
const responseSizeWeight = 0.1

// responseSizes keeps a moving average of the response body length of each route, in bytes.
type responseSizes struct{ byRoute sync.Map }

// mean returns the average of a route, 0 before its first response.
func (s *responseSizes) mean(route string) float64 {
	v, ok := s.byRoute.Load(route)
	if !ok {
		return 0
	}
	return math.Float64frombits(v.(*atomic.Uint64).Load())
}

// observe adds a response to the average. One of two concurrent updates may be lost.
func (s *responseSizes) observe(route string, bytes int64) {
	v, ok := s.byRoute.Load(route)
	if !ok {
		v, _ = s.byRoute.LoadOrStore(route, new(atomic.Uint64))
	}
	bits := v.(*atomic.Uint64)
	mean := math.Float64frombits(bits.Load())
	if mean == 0 {
		mean = float64(bytes)
	}
	bits.Store(math.Float64bits(mean + responseSizeWeight*(float64(bytes)-mean)))
}
