package rollout

import (
	"math"
	"sync"
	"time"
)

const (
	// latencyBuckets and bucketRatio define exponential buckets from 1 ms to 36 s. Each upper
	// bound is 1.25 times the one before, a finer step than Analyzer.SlowRatio.
	latencyBuckets = 48
	bucketRatio    = 1.25
	// maxRoutes bounds the routes that are counted separately. The calls of all further routes
	// are counted under otherRoutes.
	maxRoutes   = 256
	otherRoutes = ""
)

// bucketOf returns the index of the bucket of a latency.
func bucketOf(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(int(math.Log(ms)/math.Log(bucketRatio))+1, latencyBuckets-1)
}

// Counts holds the results of the calls on one route.
type Counts struct {
	// Answered and Failed count the calls that ended with these results. Calls with the result
	// Inconclusive are not counted.
	Answered, Failed uint64
	// Latencies counts answered calls by latency bucket. Answers of servers that are slow
	// because they started recently are left out.
	Latencies [latencyBuckets]uint32
}

func (c *Counts) add(o *Counts) {
	c.Answered += o.Answered
	c.Failed += o.Failed
	for i, n := range o.Latencies {
		c.Latencies[i] += n
	}
}

// minus returns the difference between c and an earlier state o of the same counts, c itself if
// o is nil.
func (c *Counts) minus(o *Counts) *Counts {
	if o == nil {
		return c
	}
	n := *c
	n.Answered -= min(o.Answered, n.Answered)
	n.Failed -= min(o.Failed, n.Failed)
	for i, old := range o.Latencies {
		n.Latencies[i] -= min(old, n.Latencies[i])
	}
	return &n
}

// total returns the number of calls that were answered or failed.
func (c *Counts) total() uint64 { return c.Answered + c.Failed }

// latenciesFrom returns the number of latencies in bucket from and all above it.
func (c *Counts) latenciesFrom(from int) uint64 {
	var n uint64
	for _, count := range c.Latencies[from:] {
		n += uint64(count)
	}
	return n
}

// medianBucket returns the index of the bucket with the median latency.
func (c *Counts) medianBucket() int {
	half := c.latenciesFrom(0) / 2
	var n uint64
	for i, count := range c.Latencies {
		if n += uint64(count); n > half {
			return i
		}
	}
	return latencyBuckets - 1
}

// CountsByRoute holds the counts of one or several servers by route.
type CountsByRoute map[string]*Counts

// add adds the counts of o to t.
func (t CountsByRoute) add(o CountsByRoute) {
	for route, c := range o {
		if t[route] == nil {
			t[route] = &Counts{}
		}
		t[route].add(c)
	}
}

// minus returns the difference between t and an earlier state o of the same counts.
func (t CountsByRoute) minus(o CountsByRoute) CountsByRoute {
	n := make(CountsByRoute, len(t))
	for route, c := range t {
		n[route] = c.minus(o[route])
	}
	return n
}

// Result is the result of a call that a gate admitted.
type Result uint8

// The results. Inconclusive calls give no information about the server, for example since the
// caller canceled them.
const (
	Answered Result = iota
	Failed
	Inconclusive
)

// recorder counts the results of calls by route. It is safe for concurrent use.
type recorder struct {
	mu     sync.Mutex
	routes CountsByRoute
}

// record counts a call that has ended. The latency is counted only if warm is true.
func (r *recorder) record(route string, result Result, latency time.Duration, warm bool) {
	if result == Inconclusive {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.routes == nil {
		r.routes = make(CountsByRoute)
	}
	if r.routes[route] == nil && len(r.routes) >= maxRoutes {
		route = otherRoutes
	}
	c := r.routes[route]
	if c == nil {
		c = &Counts{}
		r.routes[route] = c
	}
	if result == Failed {
		c.Failed++
		return
	}
	c.Answered++
	if warm {
		c.Latencies[bucketOf(latency)]++
	}
}

// snapshot returns a snapshot of the current counts.
func (r *recorder) snapshot() CountsByRoute {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := make(CountsByRoute, len(r.routes))
	t.add(r.routes)
	return t
}
