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
	// GivenUp are not counted.
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

// less returns the difference between c and an earlier state o of the same counts, c itself if
// o is nil.
func (c *Counts) less(o *Counts) *Counts {
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

// ended returns the number of calls that were answered or failed.
func (c *Counts) ended() uint64 { return c.Answered + c.Failed }

// timed returns the number of latencies in bucket from and all above it.
func (c *Counts) timed(from int) uint64 {
	var n uint64
	for _, count := range c.Latencies[from:] {
		n += uint64(count)
	}
	return n
}

// median returns the index of the bucket with the median latency.
func (c *Counts) median() int {
	half := c.timed(0) / 2
	var n uint64
	for i, count := range c.Latencies {
		if n += uint64(count); n > half {
			return i
		}
	}
	return latencyBuckets - 1
}

// Tally holds the counts of one or several servers by route.
type Tally map[string]*Counts

// add adds the counts of o to t.
func (t Tally) add(o Tally) {
	for route, c := range o {
		if t[route] == nil {
			t[route] = &Counts{}
		}
		t[route].add(c)
	}
}

// less returns the difference between t and an earlier state o of the same counts.
func (t Tally) less(o Tally) Tally {
	n := make(Tally, len(t))
	for route, c := range t {
		n[route] = c.less(o[route])
	}
	return n
}

// Result is the result of a call that a gate admitted.
type Result uint8

// The results. GivenUp calls give no information about the server, for example since the
// caller canceled them.
const (
	Answered Result = iota
	Failed
	Inconclusive
)

// recorder counts the results of calls by route. It is safe for concurrent use.
type recorder struct {
	mu    sync.Mutex
	tally Tally
}

// ended counts a call that has ended. The latency is counted only if warm is true.
func (r *recorder) ended(route string, result Result, latency time.Duration, warm bool) {
	if result == Inconclusive {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tally == nil {
		r.tally = make(Tally)
	}
	if r.tally[route] == nil && len(r.tally) >= maxRoutes {
		route = otherRoutes
	}
	c := r.tally[route]
	if c == nil {
		c = &Counts{}
		r.tally[route] = c
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

// copy returns a copy of the current counts.
func (r *recorder) copy() Tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := make(Tally, len(r.tally))
	t.add(r.tally)
	return t
}
