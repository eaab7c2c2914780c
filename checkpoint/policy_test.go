package checkpoint

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/eventlog/memlog"
	"github.com/crocuscross/crocuscross/fold"
)

func TestDue(t *testing.T) {
	p := PolicyFor(4 * time.Hour)
	seen := func(offset uint64, age time.Duration) *KnownCheckpoint { return &KnownCheckpoint{offset, age, true} }
	for name, tc := range map[string]struct {
		s    PolicyInput
		want Reason
	}{
		"nothing published":                       {PolicyInput{0, eventlog.Bounds{First: 1, End: 1}, nil}, ReasonNone},
		"no checkpoint yet":                       {PolicyInput{5, eventlog.Bounds{First: 1, End: 6}, nil}, ReasonAge},
		"no checkpoint, records dropped":          {PolicyInput{5, eventlog.Bounds{First: 3, End: 6}, nil}, ReasonTail},
		"recent checkpoint":                       {PolicyInput{100, eventlog.Bounds{First: 1, End: 101}, seen(60, time.Minute)}, ReasonNone},
		"records dropped after recent checkpoint": {PolicyInput{100, eventlog.Bounds{First: 91, End: 101}, seen(89, time.Minute)}, ReasonTail},
		"next record is the oldest retained":      {PolicyInput{100, eventlog.Bounds{First: 90, End: 101}, seen(89, time.Minute)}, ReasonNone},
		"records dropped after own offset":        {PolicyInput{89, eventlog.Bounds{First: 91, End: 101}, seen(89, time.Minute)}, ReasonNone},
		"next record in older half":               {PolicyInput{100, eventlog.Bounds{First: 1, End: 101}, seen(49, 10*time.Minute)}, ReasonRetention},
		"next record in newer half":               {PolicyInput{100, eventlog.Bounds{First: 1, End: 101}, seen(50, 10*time.Minute)}, ReasonNone},
		"no record after checkpoint":              {PolicyInput{100, eventlog.Bounds{First: 101, End: 101}, seen(100, 10*time.Minute)}, ReasonNone},
		"many records":                            {PolicyInput{9500, eventlog.Bounds{First: 1, End: 9501}, seen(9000, 10*time.Minute)}, ReasonRecords},
		"many records within MinInterval":         {PolicyInput{9500, eventlog.Bounds{First: 1, End: 9501}, seen(9000, time.Minute)}, ReasonNone},
		"old checkpoint, no record after it":      {PolicyInput{100, eventlog.Bounds{First: 101, End: 101}, seen(100, time.Hour)}, ReasonAge},
		"unknown age adds half of MaxAge":         {PolicyInput{100, eventlog.Bounds{First: 101, End: 101}, &KnownCheckpoint{100, 30 * time.Minute, false}}, ReasonAge},
		"behind the newest checkpoint":            {PolicyInput{100, eventlog.Bounds{First: 150, End: 201}, seen(120, time.Hour)}, ReasonNone},
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, tc.want, p.Due(tc.s)) })
	}
}

// Regardless of the fleet size, the same few hosts are candidates until EveryRecords records have
// been added, each with its own delay; after that, the candidates change.
func TestWriteDelayCandidatesAreFewAndChange(t *testing.T) {
	p := PolicyFor(4 * time.Hour)
	rapid.Check(t, func(t *rapid.T) {
		var hosts []string
		for i := range rapid.IntRange(1, 300).Draw(t, "hosts") {
			hosts = append(hosts, fmt.Sprint("host-", i))
		}
		offset := rapid.Uint64Range(0, 1e6).Draw(t, "offset")
		waits := map[time.Duration]bool{}
		for _, h := range hosts {
			if wait, ok := p.WriteDelay(h, hosts, offset, 0); ok {
				waits[wait] = true
			}
		}
		for rank := range min(p.Candidates, len(hosts)) {
			must.True(t, waits[time.Duration(rank)*p.TurnLength])
		}
		must.MapLen(t, min(p.Candidates, len(hosts)), waits)
	})
	var hosts []string
	first := map[string]bool{}
	for i := range 50 {
		hosts = append(hosts, fmt.Sprint("host-", i))
	}
	for epoch := range uint64(40) {
		for _, h := range hosts {
			if wait, ok := p.WriteDelay(h, hosts, epoch*p.EveryRecords, 0); ok && wait == 0 {
				first[h] = true
			}
		}
	}
	must.Greater(t, 20, len(first))
}

// testFleet is a small fleet on one log with an injected clock.
type testFleet struct {
	now           time.Time
	svc           *memlog.Service
	config        *memlog.Stream
	stream        *memlog.Stream
	state         *fold.State
	hosts         []string
	checkpointers []*Checkpointer
	next          []time.Time
}

const testRetention = 3 * time.Hour

func newTestFleet(hosts int) *testFleet {
	f := &testFleet{now: time.Unix(1e9, 0), state: fold.Empty()}
	opts := memlog.DefaultOptions()
	opts.RetainFor = testRetention
	opts.Now = func() time.Time { return f.now }
	f.svc = memlog.New(opts)
	f.config, f.stream = f.svc.Stream(eventlog.StreamConfig), f.svc.Stream(eventlog.StreamCheckpoints)
	f.checkpointers, f.next = make([]*Checkpointer, hosts), make([]time.Time, hosts)
	for i := range hosts {
		f.hosts = append(f.hosts, fmt.Sprint("host-", i))
		f.restart(i)
	}
	return f
}

// restart replaces the Checkpointer of a host by a new one.
func (f *testFleet) restart(i int) {
	opts := DefaultCheckpointerOptions(testRetention)
	opts.Writer = options()
	opts.Writer.NewID = func() uint64 { return uint64(f.now.UnixNano()) }
	opts.Now = func() time.Time { return f.now }
	opts.Jitter = func() float64 { return 0 }
	f.checkpointers[i] = NewCheckpointer(f.hosts[i], f.config, f.stream, opts)
	f.next[i] = f.now
}

func (f *testFleet) publish() {
	data := record(f.state, int(f.state.Offset%20))
	if _, err := f.config.Append(context.Background(), data); err == nil {
		f.state, _, _ = fold.Apply(f.state, f.state.Offset+1, data)
	}
}

// run advances the clock in steps of 10 seconds and calls each Checkpointer when its wait is
// over.
func (f *testFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(10 * time.Second) {
		for i, k := range f.checkpointers {
			if f.now.Before(f.next[i]) {
				continue
			}
			wait, _ := k.Step(context.Background(), f.state, f.hosts)
			f.next[i] = f.now.Add(wait)
		}
	}
}

// checkStartFromLog checks that the log alone is sufficient to restore the current state.
func (f *testFleet) checkStartFromLog(t *testing.T) {
	t.Helper()
	st, err := Latest(t.Context(), f.stream)
	must.NoError(t, err)
	bounds, err := f.config.Bounds(t.Context())
	must.NoError(t, err)
	must.LessEq(t, st.Offset+1, bounds.First, must.Sprint("the log has dropped records after the checkpoint"))
	records, err := f.config.Read(t.Context(), st.Offset+1, 1<<20, 0)
	must.NoError(t, err)
	st, _, err = fold.ApplyAll(st, records)
	must.NoError(t, err)
	must.Eq(t, encoded(f.state), encoded(st))
}

// Operators publish during the day only, hosts are replaced continuously, and records expire
// after three hours. At any time a new daemon must be able to start from the log alone, with few
// checkpoints in the stream.
func TestNewDaemonCanAlwaysStartFromLog(t *testing.T) {
	f := newTestFleet(12)
	f.publish()
	f.run(time.Minute)
	for hour := range 30 {
		for minute := range 60 {
			if hour%24 < 8 {
				f.publish()
			}
			f.restart((hour*60 + minute) / 7 % len(f.checkpointers))
			f.run(time.Minute)
			if minute%20 == 0 {
				f.checkStartFromLog(t)
			}
		}
	}
	bounds, _ := f.stream.Bounds(t.Context())
	must.LessEq(t, 30*2, bounds.End-1, must.Sprint("checkpoints in 30 h"))
}

// The platform is unavailable for longer than its retention, so that every checkpoint and record
// has expired afterwards and the state exists only in the memory of the daemons. They must write
// a checkpoint immediately, not when the next one would have been due.
func TestCheckpointAfterOutageLongerThanRetention(t *testing.T) {
	f := newTestFleet(5)
	f.publish()
	f.run(time.Minute)
	f.checkStartFromLog(t)
	f.publish()
	f.run(time.Minute)
	f.svc.SetOutage(true)
	f.run(testRetention + time.Hour)
	f.svc.SetOutage(false)
	_, err := Latest(t.Context(), f.stream)
	must.ErrorIs(t, err, ErrNoCheckpoint)
	f.run(2 * time.Minute)
	f.checkStartFromLog(t)
	bounds, _ := f.stream.Bounds(t.Context())
	must.LessEq(t, 1, bounds.End-bounds.First, must.Sprint("duplicates"))
}

// Two hosts write the same checkpoint because they disagree on which hosts are live, and a host
// that was paused writes an older one late. A starting daemon must still get the newest.
func TestLateAndDuplicateWritesAreHarmless(t *testing.T) {
	f := newTestFleet(3)
	f.publish()
	late := f.state
	f.publish()
	for _, st := range []*fold.State{f.state, f.state, late} {
		must.NoError(t, NewWriter(f.stream, "h", options()).Write(t.Context(), st))
	}
	f.checkStartFromLog(t)
}

// A faulty program writes a checkpoint with valid parts, a high offset and a state that cannot be
// decoded. Checkpointers that relied on it would consider their own state older and write none,
// while the last good checkpoint expires.
func TestUnusableCheckpointDoesNotPreventWrite(t *testing.T) {
	f := newTestFleet(3)
	f.publish()
	bad := rawPart(&configpb.State{Offset: 1 << 40}, func(*configpb.CheckpointPart) {})
	_, err := f.stream.Append(t.Context(), bad)
	must.NoError(t, err)
	f.run(2 * time.Minute)
	f.checkStartFromLog(t)
}

// All candidates find at the same time that a checkpoint is due. The second candidate waits for
// the first, and writes only if the first has not.
func TestSecondCandidateWaitsForFirst(t *testing.T) {
	for _, firstDies := range []bool{false, true} {
		f := newTestFleet(2)
		f.publish()
		first, second := f.checkpointers[0], f.checkpointers[1]
		if wait, _ := PolicyFor(testRetention).WriteDelay(f.hosts[0], f.hosts, f.state.Offset, 0); wait > 0 {
			first, second = second, first
		}
		wait, err := second.Step(t.Context(), f.state, f.hosts)
		must.NoError(t, err)
		must.Eq(t, PolicyFor(testRetention).TurnLength, wait)
		if !firstDies {
			_, err = first.Step(t.Context(), f.state, f.hosts)
			must.NoError(t, err)
		}
		f.now = f.now.Add(wait)
		_, err = second.Step(t.Context(), f.state, f.hosts)
		must.NoError(t, err)
		bounds, _ := f.stream.Bounds(t.Context())
		must.Eq(t, uint64(2), bounds.End)
	}
}
