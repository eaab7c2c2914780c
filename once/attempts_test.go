package once

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/crocuscross/crocuscross/errkind"
)

// smallAttemptTable returns options with which a gate evicts soon: each shard has room for
// one lane, three entries and about one response.
func smallAttemptTable(boot uint64, now func() time.Time) AttemptTableOptions {
	return AttemptTableOptions{
		Boot: boot,
		Bounds: Bounds{
			KeepFor: 10 * time.Second, MaxRecords: 3 * attemptShards, MaxRunning: 2 * attemptShards,
			MaxBytes: 100 * attemptShards, MaxResponseBytes: 100,
		},
		MaxLanes: attemptShards, LaneIdleTimeout: 30 * time.Second, Now: now,
	}
}

// attemptsModel records the actual outcome of each attempt, across restarts of a gate.
type attemptsModel struct {
	clock  *manualClock
	boot   uint64
	gate   *AttemptTable
	sender *IDAllocator

	sent      []ID
	inFlight  []ID
	running   []runningAttempt
	started   map[ID]bool
	notRun    map[ID]bool
	responses map[ID]*Response
}

// runningAttempt runs under one boot of the gate, which may have been restarted since.
type runningAttempt struct {
	id   ID
	gate *AttemptTable
}

func newAttemptsModel() *attemptsModel {
	m := &attemptsModel{
		clock: newManualClock(), started: map[ID]bool{}, notRun: map[ID]bool{}, responses: map[ID]*Response{},
	}
	m.restart(nil)
	m.sender = NewIDAllocator(IDAllocatorOptions{
		OpenLane:  func(context.Context, GateID) (Lane, error) { return m.gate.OpenLane() },
		IdleAfter: 25 * time.Second,
		Now:       m.clock.Now,
	})
	return m
}

func (m *attemptsModel) restart(*rapid.T) {
	m.boot++
	m.gate = NewAttemptTable(smallAttemptTable(m.boot, m.clock.Now))
}

func (m *attemptsModel) send(t *rapid.T) {
	// The sender may not yet know of the latest restart of the gate.
	boot := rapid.Uint64Range(max(1, m.boot-1), m.boot).Draw(t, "boot")
	id, err := m.sender.Next(context.Background(), GateID{Host: "a", Boot: boot})
	must.NoError(t, err)
	m.sent = append(m.sent, id)
	m.inFlight = append(m.inFlight, id)
}

func (m *attemptsModel) deliver(t *rapid.T) {
	id, ok := drawAndRemove(t, &m.inFlight)
	if !ok {
		return
	}
	if m.gate.Start(id) != nil {
		return
	}
	must.False(t, m.notRun[id], must.Sprintf("%v started after it was reported as not run", id))
	must.False(t, m.started[id])
	m.started[id] = true
	m.running = append(m.running, runningAttempt{id, m.gate})
}

func (m *attemptsModel) end(t *rapid.T) {
	r, ok := drawAndRemove(t, &m.running)
	if !ok {
		return
	}
	switch rapid.IntRange(0, 5).Draw(t, "how") {
	case 0:
		r.gate.Fail(r.id)
	case 1:
		r.gate.Cancel(r.id)
		m.started[r.id] = false
	case 2:
		r.gate.Finish(r.id, nil)
	default:
		m.responses[r.id] = &Response{Status: 200, Body: []byte(r.id.String())}
		r.gate.Finish(r.id, m.responses[r.id])
	}
}

// burst runs a few attempts to completion, so that the gate has to evict entries.
func (m *attemptsModel) burst(t *rapid.T) {
	for range rapid.IntRange(1, 4).Draw(t, "calls") {
		m.send(t)
		m.deliver(t)
		m.end(t)
	}
}

func (m *attemptsModel) query(t *rapid.T) {
	if len(m.sent) == 0 {
		return
	}
	id := rapid.SampledFrom(m.sent).Draw(t, "id")
	r := m.gate.Query(id, true)
	switch r.Outcome {
	case NotRun:
		must.False(t, m.started[id], must.Sprintf("%v was reported as not run but had started", id))
		m.notRun[id] = true
	case Running, Ran:
		must.True(t, m.started[id])
	}
	if r.Response != nil {
		must.Eq(t, m.responses[id], r.Response)
	}
}

func (m *attemptsModel) advanceClock(t *rapid.T) {
	m.clock.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
}

// openOtherLanes opens a lane per shard for other senders, so that older lanes are evicted.
func (m *attemptsModel) openOtherLanes(t *rapid.T) {
	for range attemptShards {
		_, err := m.gate.OpenLane()
		must.NoError(t, err)
	}
}

func (m *attemptsModel) checkBounds(t *rapid.T) {
	for i := range m.gate.shards {
		s := &m.gate.shards[i]
		must.LessEq(t, 1, len(s.lanes))
		must.LessEq(t, 3+2, len(s.calls.entries))
		must.LessEq(t, 100, s.calls.responseBytes)
	}
}

// drawAndRemove removes and returns a randomly drawn element. It reports false if there is
// none.
func drawAndRemove[T any](t *rapid.T, from *[]T) (T, bool) {
	var zero T
	if len(*from) == 0 {
		return zero, false
	}
	i := rapid.IntRange(0, len(*from)-1).Draw(t, "which")
	v := (*from)[i]
	*from = append((*from)[:i], (*from)[i+1:]...)
	return v, true
}

// Messages arrive late or after a query, calls end late, and the gate evicts entries, closes
// lanes and restarts. An attempt that was reported as not run must not have started and must
// never start: the sender retries it, so the call would run twice.
func TestAttemptOutcomesAreConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newAttemptsModel()
		t.Repeat(map[string]func(*rapid.T){
			"send": m.send, "send2": m.send, "deliver": m.deliver, "deliver2": m.deliver, "end": m.end,
			"ask": m.query, "ask2": m.query, "burst": m.burst, "pass": m.advanceClock, "crowd": m.openOtherLanes, "restart": m.restart, "": m.checkBounds,
		})
	})
}

// gateWithLane returns a gate and a function that returns the IDs of its first lane.
func gateWithLane(t *testing.T, clock *manualClock) (*AttemptTable, func(seq uint32) ID) {
	g := NewAttemptTable(smallAttemptTable(1, clock.Now))
	lane, err := g.OpenLane()
	must.NoError(t, err)
	return g, func(seq uint32) ID { return newID(lane.Boot, lane.Number, seq) }
}

// As long as no entry was evicted, a query returns the exact outcome. Without this test, a
// table that always returns Unknown would pass as correct.
func TestQueryReportsExactOutcome(t *testing.T) {
	resp := &Response{Status: 201, Body: []byte("held")}
	cases := []struct {
		name string
		do   func(g *AttemptTable, id ID)
		want QueryResult
	}{
		{"never arrived", func(*AttemptTable, ID) {}, QueryResult{Outcome: NotRun}},
		{"running", func(*AttemptTable, ID) {}, QueryResult{Outcome: Running}},
		{"ran", func(g *AttemptTable, id ID) { g.Finish(id, resp) }, QueryResult{Ran, resp}},
		{"ran, large response", func(g *AttemptTable, id ID) { g.Finish(id, &Response{Body: make([]byte, 200)}) }, QueryResult{Outcome: Ran}},
		{"failed", func(g *AttemptTable, id ID) { g.Fail(id) }, QueryResult{Outcome: Unknown}},
		{"canceled", func(g *AttemptTable, id ID) { g.Cancel(id) }, QueryResult{Outcome: NotRun}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g, id := gateWithLane(t, newManualClock())
			if c.name != "never arrived" {
				must.NoError(t, g.Start(id(1)))
			}
			c.do(g, id(1))
			must.Eq(t, c.want, g.Query(id(1), true))
			must.Eq(t, c.want, g.Query(id(1), true))
			must.Error(t, g.Start(id(1)))
		})
	}
}

// A query without bar doesn't prevent the attempt from starting.
func TestQueryWithoutBarAllowsStart(t *testing.T) {
	g, id := gateWithLane(t, newManualClock())
	must.Eq(t, QueryResult{Outcome: Running}, g.Query(id(1), false))
	must.NoError(t, g.Start(id(1)))
}

// After a gate rejects an attempt because too many calls run, the sender retries the call at
// another gate. The rejected attempt must never start.
func TestAttemptRejectedAsOverloadedIsBarred(t *testing.T) {
	g, id := gateWithLane(t, newManualClock())
	must.NoError(t, g.Start(id(1)))
	must.NoError(t, g.Start(id(2)))
	must.Eq(t, errkind.Overloaded, errkind.Of(g.Start(id(3))))
	g.Finish(id(1), nil)
	must.Eq(t, errkind.Barred, errkind.Of(g.Start(id(3))))
}

// A sender's process is paused while it sends calls, possibly for longer than the lifetime of
// claims. When it resumes, the calls must not start, because another daemon may have run them
// meanwhile. The gate rejects them since their lane was idle for too long.
func TestAttemptOnIdleLaneIsBarred(t *testing.T) {
	clock := newManualClock()
	g, id := gateWithLane(t, clock)
	must.NoError(t, g.Start(id(1)))
	clock.advance(31 * time.Second)
	must.Eq(t, errkind.Barred, errkind.Of(g.Start(id(2))))
	must.Eq(t, errkind.Barred, errkind.Of(g.Start(id(3))))
}

// A sender opens another lane after an attempt was rejected as barred, and after its lane was
// unused for IdleAfter, before the gate closes the lane.
func TestIDAllocatorReplacesLanes(t *testing.T) {
	clock := newManualClock()
	g := NewAttemptTable(smallAttemptTable(1, clock.Now))
	opened := 0
	lanes := NewIDAllocator(IDAllocatorOptions{
		OpenLane: func(context.Context, GateID) (Lane, error) {
			opened++
			return g.OpenLane()
		},
		IdleAfter: 20 * time.Second, Now: clock.Now,
	})
	next := func() ID {
		id, err := lanes.Next(t.Context(), GateID{"a", 1})
		must.NoError(t, err)
		return id
	}
	first := next()
	must.NotEq(t, first, next())
	must.Eq(t, 1, opened)
	lanes.Invalidate(GateID{"a", 1}, first)
	second := next()
	must.Eq(t, 2, opened)
	// A late rejection in the first lane must not invalidate the second one.
	lanes.Invalidate(GateID{"a", 1}, first)
	next()
	must.Eq(t, 2, opened)
	clock.advance(20 * time.Second)
	must.NotEq(t, second.lane(), next().lane())
	must.Eq(t, 3, opened)
	// The state of idle gates is dropped when a lane to another gate is opened.
	clock.advance(20 * time.Second)
	_, err := lanes.Next(t.Context(), GateID{"b", 1})
	must.NoError(t, err)
	_, kept := lanes.gates.Load(GateID{"a", 1})
	must.False(t, kept)
}

// Queries race with the starts of the same attempts. Each attempt is either started or
// barred, and a query that waits for a running attempt returns the response of that attempt.
func TestStartRacesWithQuery(t *testing.T) {
	opts := DefaultAttemptTableOptions(1)
	g := NewAttemptTable(opts)
	lane, err := g.OpenLane()
	must.NoError(t, err)
	const attempts = 2000
	var started, asked [attempts]QueryResult
	var wg sync.WaitGroup
	for w := range 2 {
		wg.Go(func() {
			for i := w; i < attempts; i += 2 {
				id := newID(1, lane.Number, uint32(i+1))
				if g.Start(id) == nil {
					started[i] = QueryResult{Ran, &Response{Body: fmt.Append(nil, i)}}
					g.Finish(id, started[i].Response)
				}
			}
		})
		wg.Go(func() {
			for i := w; i < attempts; i += 2 {
				asked[i] = g.Await(context.Background(), newID(1, lane.Number, uint32(i+1)), true)
			}
		})
	}
	wg.Wait()
	for i := range attempts {
		if started[i].Outcome == 0 {
			started[i] = QueryResult{Outcome: NotRun}
		}
		must.Eq(t, started[i], asked[i])
	}
}
