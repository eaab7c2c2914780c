package gate_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/gate"
)

// admitter is the target of the model's calls: the gate or a queue to which it is compared.
type admitter interface {
	admit(customer string, remaining time.Duration) (release func(gate.Outcome), err error)
}

type gateAdmitter struct{ *gate.Gate }

func newGateAdmitter() admitter { return gateAdmitter{gate.New(gate.DefaultOptions())} }

func (e gateAdmitter) admit(customer string, remaining time.Duration) (func(gate.Outcome), error) {
	t, err := e.Enter(context.Background(), customer, remaining)
	if err != nil {
		return nil, err
	}
	return t.Done, nil
}

// plainQueue waits for a slot until the deadline, without estimates and without fairness between
// customers.
type plainQueue struct {
	mu      sync.Mutex
	free    int
	waiting []*waiter
	order   order
}

type waiter struct {
	deadline time.Time
	granted  chan struct{}
}

// order returns the index of the waiter that is served next.
type order func(waiting []*waiter) int

func oldest([]*waiter) int         { return 0 }
func newest(waiting []*waiter) int { return len(waiting) - 1 }
func earliest(waiting []*waiter) int {
	first := slices.MinFunc(waiting, func(a, b *waiter) int { return a.deadline.Compare(b.deadline) })
	return slices.Index(waiting, first)
}

func (o order) newAdmitter() admitter {
	return &plainQueue{free: gate.DefaultOptions().Slots, order: o}
}

func (q *plainQueue) admit(_ string, remaining time.Duration) (func(gate.Outcome), error) {
	q.mu.Lock()
	if q.free > 0 {
		q.free--
		q.mu.Unlock()
		return q.release, nil
	}
	w := &waiter{deadline: time.Now().Add(remaining), granted: make(chan struct{})}
	q.waiting = append(q.waiting, w)
	q.mu.Unlock()
	select {
	case <-w.granted:
		return q.release, nil
	case <-time.After(remaining):
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.Index(q.waiting, w)
	if i < 0 {
		return q.release, nil
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return nil, errkind.New(errkind.DeadlineNotRun, "too late")
}

func (q *plainQueue) release(gate.Outcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.free++
		return
	}
	i := q.order(q.waiting)
	close(q.waiting[i].granted)
	q.waiting = slices.Delete(q.waiting, i, i+1)
}

// source sends calls of one customer at random intervals.
type source struct {
	customer string
	// rate is in calls per second.
	rate float64
	// service is the mean service time; it varies by half in both directions.
	service  time.Duration
	deadline time.Duration
}

// tally counts the calls of a source by their result: answered in time, cut off by the deadline,
// shed by the backend server, and rejected on arrival or after a wait.
type tally struct {
	offered, inTime, late, shed, onArrival, afterWait int
}

func (t *tally) share(n int) float64 { return float64(n) / float64(max(t.offered, 1)) }

func (t *tally) add(o tally) {
	t.offered += o.offered
	t.inTime += o.inTime
	t.late += o.late
	t.shed += o.shed
	t.onArrival += o.onArrival
	t.afterWait += o.afterWait
}

// model runs sources against an admitter with a virtual clock.
type model struct {
	newAdmitter func() admitter
	// backendSlots is the number of calls that the backend server runs concurrently. It sheds
	// further calls.
	backendSlots int
	length       time.Duration
	sources      []source
}

const modelWarmup = 2 * time.Second

// run returns a tally for each source, which covers the calls that ended between the warm-up and
// the end of the run.
func (m model) run(t *testing.T) []tally {
	t.Helper()
	tallies := make([]tally, len(m.sources))
	synctest.Test(t, func(*testing.T) {
		var mu sync.Mutex
		var group sync.WaitGroup
		e, running := m.newAdmitter(), make(chan struct{}, m.backendSlots)
		start := time.Now()
		for i, src := range m.sources {
			rng := rand.New(rand.NewPCG(1, uint64(i)))
			group.Go(func() {
				for time.Since(start) < m.length+modelWarmup {
					time.Sleep(time.Duration(rng.ExpFloat64() / src.rate * float64(time.Second)))
					service := time.Duration((0.5 + rng.Float64()) * float64(src.service))
					group.Go(func() {
						result := call(e, src, service, running)
						mu.Lock()
						defer mu.Unlock()
						if at := time.Since(start) - modelWarmup; 0 < at && at < m.length {
							tallies[i].add(result)
						}
					})
				}
			})
		}
		group.Wait()
	})
	return tallies
}

func call(e admitter, src source, service time.Duration, running chan struct{}) tally {
	start := time.Now()
	release, err := e.admit(src.customer, src.deadline)
	waited := time.Since(start)
	switch {
	case err != nil && waited == 0:
		return tally{offered: 1, onArrival: 1}
	case err != nil:
		return tally{offered: 1, afterWait: 1}
	}
	select {
	case running <- struct{}{}:
	default:
		time.Sleep(100 * time.Microsecond)
		release(gate.Shed)
		return tally{offered: 1, shed: 1}
	}
	left := src.deadline - waited
	time.Sleep(min(service, left))
	<-running
	release(gate.Answered)
	if service > left {
		return tally{offered: 1, late: 1}
	}
	return tally{offered: 1, inTime: 1}
}
