package rollout

import (
	"math"
	"sync"
	"time"
)

const (
	// latencyBuckets and bucketRatio cover 1 ms to 36 s; a bucket's bounds are a quarter
	// apart, less than the factor that tells a slow version.
	latencyBuckets = 48
	bucketRatio    = 1.25
	// maxRoutes bounds the routes that are told apart; the rest count as one.
	maxRoutes   = 256
	otherRoutes = ""
)

// bucketOf returns the bucket of a latency.
func bucketOf(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(int(math.Log(ms)/math.Log(bucketRatio))+1, latencyBuckets-1)
}

// Counts is what became of the calls of one route.
type Counts struct {
	// Answered and Failed calls; a call that its caller gave up is neither.
	Answered, Failed uint64
	// Latencies counts answers by bucket. Servers that have just started, and are slow
	// for that, are left out.
	Latencies [latencyBuckets]uint32
}

func (c *Counts) add(o *Counts) {
	c.Answered += o.Answered
	c.Failed += o.Failed
	for i, n := range o.Latencies {
		c.Latencies[i] += n
	}
}

// less returns c without what an earlier o has counted.
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

func (c *Counts) ended() uint64 { return c.Answered + c.Failed }

// timed returns the number of latencies in the buckets from one on.
func (c *Counts) timed(from int) uint64 {
	var n uint64
	for _, count := range c.Latencies[from:] {
		n += uint64(count)
	}
	return n
}

// median returns the bucket of the median latency.
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

// Tally is the counts of one or several servers by route.
type Tally map[string]*Counts

func (t Tally) add(o Tally) {
	for route, c := range o {
		if t[route] == nil {
			t[route] = &Counts{}
		}
		t[route].add(c)
	}
}

// less returns t without what an earlier o has counted.
func (t Tally) less(o Tally) Tally {
	n := make(Tally, len(t))
	for route, c := range t {
		n[route] = c.less(o[route])
	}
	return n
}

// Result is how a call that reached the backend server has ended.
type Result uint8

// The results. Given up calls tell nothing of the server.
const (
	Answered Result = iota
	Failed
	Inconclusive
)

// recorder counts what becomes of calls. It is safe for concurrent use.
type recorder struct {
	mu    sync.Mutex
	tally Tally
}

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

// copy returns the counts so far.
func (r *recorder) copy() Tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := make(Tally, len(r.tally))
	t.add(r.tally)
	return t
}
