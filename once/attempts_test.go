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

// tinyAttempts make a gate forget soon: each shard has room for one lane,
// three records and about one answer.
func tinyAttempts(boot uint64, now func() time.Time) AttemptTableOptions {
	return AttemptTableOptions{
		Boot: boot,
		Bounds: Bounds{
			KeepFor: 10 * time.Second, MaxRecords: 3 * attemptShards, MaxRunning: 2 * attemptShards,
			MaxBytes: 100 * attemptShards, MaxResponseBytes: 100,
		},
		MaxLanes: attemptShards, LaneIdleTimeout: 30 * time.Second, Now: now,
	}
}

// attemptsModel is what truly became of each attempt, over all lives of a gate.
type attemptsModel struct {
	clock  *manualClock
	boot   uint64
	gate   *AttemptTable
	sender *IDAllocator

	minted   []ID
	inFlight []ID
	running  []liveAttempt
	started  map[ID]bool
	notRun   map[ID]bool
	answers  map[ID]*Response
}

// liveAttempt runs in one life of the gate, which may be over.
type liveAttempt struct {
	id   ID
	gate *AttemptTable
}

func newAttemptsModel() *attemptsModel {
	m := &attemptsModel{
		clock: newManualClock(), started: map[ID]bool{}, notRun: map[ID]bool{}, answers: map[ID]*Response{},
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
	m.gate = NewAttemptTable(tinyAttempts(m.boot, m.clock.Now))
}

func (m *attemptsModel) send(t *rapid.T) {
	// The sender's view may lag behind by a life of the gate.
	boot := rapid.Uint64Range(max(1, m.boot-1), m.boot).Draw(t, "boot")
	id, err := m.sender.Next(context.Background(), GateID{Host: "a", Boot: boot})
	must.NoError(t, err)
	m.minted = append(m.minted, id)
	m.inFlight = append(m.inFlight, id)
}

func (m *attemptsModel) deliver(t *rapid.T) {
	id, ok := take(t, &m.inFlight)
	if !ok {
		return
	}
	if m.gate.Start(id) != nil {
		return
	}
	must.False(t, m.notRun[id], must.Sprintf("%v started after it was told as not run", id))
	must.False(t, m.started[id])
	m.started[id] = true
	m.running = append(m.running, liveAttempt{id, m.gate})
}

func (m *attemptsModel) end(t *rapid.T) {
	r, ok := take(t, &m.running)
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
		m.answers[r.id] = &Response{Status: 200, Body: []byte(r.id.String())}
		r.gate.Finish(r.id, m.answers[r.id])
	}
}

// burst runs a few attempts to their end, so that the gate has to forget.
func (m *attemptsModel) burst(t *rapid.T) {
	for range rapid.IntRange(1, 4).Draw(t, "calls") {
		m.send(t)
		m.deliver(t)
		m.end(t)
	}
}

func (m *attemptsModel) ask(t *rapid.T) {
	if len(m.minted) == 0 {
		return
	}
	id := rapid.SampledFrom(m.minted).Draw(t, "id")
	r := m.gate.Query(id, true)
	switch r.Outcome {
	case NotRun:
		must.False(t, m.started[id], must.Sprintf("%v was told as not run and had started", id))
		m.notRun[id] = true
	case Running, Ran:
		must.True(t, m.started[id])
	}
	if r.Response != nil {
		must.Eq(t, m.answers[id], r.Response)
	}
}

func (m *attemptsModel) pass(t *rapid.T) {
	m.clock.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
}

// crowd makes other senders open a lane in each shard, so that older lanes go.
func (m *attemptsModel) crowd(t *rapid.T) {
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

// take removes a drawn element.
func take[T any](t *rapid.T, from *[]T) (T, bool) {
	var zero T
	if len(*from) == 0 {
		return zero, false
	}
	i := rapid.IntRange(0, len(*from)-1).Draw(t, "which")
	v := (*from)[i]
	*from = append((*from)[:i], (*from)[i+1:]...)
	return v, true
}

// Frames come late or after an ask, calls end late, the gate forgets for lack
// of room and time, closes lanes and restarts. Through all of it an asker that
// is told "not run" must be right for good: an attempt that started before or
// after would double a hold, since the caller sends it again.
func TestAttemptsNeverContradict(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newAttemptsModel()
		t.Repeat(map[string]func(*rapid.T){
			"send": m.send, "send2": m.send, "deliver": m.deliver, "deliver2": m.deliver, "end": m.end,
			"ask": m.ask, "ask2": m.ask, "burst": m.burst, "pass": m.pass, "crowd": m.crowd, "restart": m.restart, "": m.checkBounds,
		})
	})
}

// gateWithLane returns a gate and the ids of its first lane.
func gateWithLane(t *testing.T, clock *manualClock) (*AttemptTable, func(seq uint32) ID) {
	g := NewAttemptTable(tinyAttempts(1, clock.Now))
	lane, err := g.OpenLane()
	must.NoError(t, err)
	return g, func(seq uint32) ID { return newID(lane.Boot, lane.Number, seq) }
}

// What a gate must be able to tell while nothing was forgotten; without it a
// table that answers "unknown" always would pass as safe.
func TestAskIsPrecise(t *testing.T) {
	resp := &Response{Status: 201, Body: []byte("held")}
	cases := []struct {
		name string
		do   func(g *AttemptTable, id ID)
		want QueryResult
	}{
		{"never came", func(*AttemptTable, ID) {}, QueryResult{Outcome: NotRun}},
		{"runs", func(*AttemptTable, ID) {}, QueryResult{Outcome: Running}},
		{"ran", func(g *AttemptTable, id ID) { g.Finish(id, resp) }, QueryResult{Ran, resp}},
		{"ran, large answer", func(g *AttemptTable, id ID) { g.Finish(id, &Response{Body: make([]byte, 200)}) }, QueryResult{Outcome: Ran}},
		{"failed", func(g *AttemptTable, id ID) { g.Fail(id) }, QueryResult{Outcome: Unknown}},
		{"canceled", func(g *AttemptTable, id ID) { g.Cancel(id) }, QueryResult{Outcome: NotRun}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g, id := gateWithLane(t, newManualClock())
			if c.name != "never came" {
				must.NoError(t, g.Start(id(1)))
			}
			c.do(g, id(1))
			must.Eq(t, c.want, g.Query(id(1), true))
			must.Eq(t, c.want, g.Query(id(1), true))
			must.Error(t, g.Start(id(1)))
		})
	}
}

// An ask without bar promises nothing, so the attempt still starts.
func TestAskWithoutBar(t *testing.T) {
	g, id := gateWithLane(t, newManualClock())
	must.Eq(t, QueryResult{Outcome: Running}, g.Query(id(1), false))
	must.NoError(t, g.Start(id(1)))
}

// A gate out of room refuses an attempt, and the sender goes elsewhere with
// it. The same frame must not start here later.
func TestRefusedForRoomIsBarred(t *testing.T) {
	g, id := gateWithLane(t, newManualClock())
	must.NoError(t, g.Start(id(1)))
	must.NoError(t, g.Start(id(2)))
	must.Eq(t, errkind.Overloaded, errkind.Of(g.Start(id(3))))
	g.Finish(id(1), nil)
	must.Eq(t, errkind.Barred, errkind.Of(g.Start(id(3))))
}

// A sender is paused with calls under way, for longer than the claims of own
// keys may last. When it wakes, its calls must not start: another daemon may
// have run them meanwhile. The gate has closed its lane.
func TestPausedSenderIsRefused(t *testing.T) {
	clock := newManualClock()
	g, id := gateWithLane(t, clock)
	must.NoError(t, g.Start(id(1)))
	clock.advance(31 * time.Second)
	must.Eq(t, errkind.Barred, errkind.Of(g.Start(id(2))))
	must.Eq(t, errkind.Barred, errkind.Of(g.Start(id(3))))
}

// A refused sender opens another lane and goes on; an unused lane is not
// trusted for as long as the gate keeps it.
func TestLanesAreReplaced(t *testing.T) {
	clock := newManualClock()
	g := NewAttemptTable(tinyAttempts(1, clock.Now))
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
	// A late word about the first lane must not close the second.
	lanes.Invalidate(GateID{"a", 1}, first)
	next()
	must.Eq(t, 2, opened)
	clock.advance(20 * time.Second)
	must.NotEq(t, second.lane(), next().lane())
	must.Eq(t, 3, opened)
	// Gates that are gone are forgotten when another is first met.
	clock.advance(20 * time.Second)
	_, err := lanes.Next(t.Context(), GateID{"b", 1})
	must.NoError(t, err)
	_, kept := lanes.gates.Load(GateID{"a", 1})
	must.False(t, kept)
}

// Asks and frames of the same attempts race. Of each attempt either the start
// or the bar wins, and whoever waits for a running one gets its own answer.
func TestStartRacesWithAsk(t *testing.T) {
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
