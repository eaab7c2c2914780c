package spread

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
)

// shorterLog is a log that ends before the offset requested and reports so on each read.
type shorterLog struct {
	eventlog.Log
	reads int
}

func (l *shorterLog) Read(_ context.Context, from eventlog.Offset, _ int, _ time.Duration) ([]eventlog.Record, error) {
	l.reads++
	time.Sleep(5 * time.Millisecond)
	return nil, &eventlog.TruncatedError{Requested: from, First: 1}
}

// A log that does not hold the requested offset must not be read again without a pause.
func TestReaderOfShorterLogBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &shorterLog{}
		o := DefaultOptions()
		o.Log, o.LogReportsRestores, o.Mode = log, true, ModeDirect
		s := New(o)
		st, _, err := fold.Apply(fold.Empty(), 1, documentRecord(t, 1, 10))
		must.NoError(t, err)
		s.InstallState(st)
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		time.Sleep(10 * time.Second)
		stop()
		must.NoError(t, <-done)
		// The waits grow to 2 s, with full jitter.
		must.Less(t, 100, log.reads)
	})
}

// restoredLog is a log of documents that can be restored from older copies of itself.
type restoredLog struct {
	eventlog.Log
	t *testing.T

	mu          sync.Mutex
	epoch       uint32
	records     [][]byte
	changed     chan struct{}
	unavailable bool
	// calls is the number of reads and of loads of the newest state.
	calls int
}

func newRestoredLog(t *testing.T) *restoredLog {
	return &restoredLog{t: t, epoch: 1, changed: make(chan struct{})}
}

func (l *restoredLog) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// write appends a document and returns its offset.
func (l *restoredLog) write(version uint64) eventlog.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, documentRecord(l.t, version, 10))
	l.wake()
	return eventlog.MakeOffset(l.epoch, uint64(len(l.records)))
}

// restore truncates the log to its first n records in a new epoch.
func (l *restoredLog) restore(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch++
	l.records = slices.Clone(l.records[:n])
	l.wake()
}

func (l *restoredLog) setUnavailable(away bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable = away
	l.wake()
}

func (l *restoredLog) len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}

func (l *restoredLog) callCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// Read implements eventlog.Log.
func (l *restoredLog) Read(ctx context.Context, from eventlog.Offset, limit int, wait time.Duration) ([]eventlog.Record, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	time.Sleep(4 * time.Millisecond)
	for first := true; ; first = false {
		l.mu.Lock()
		if first {
			l.calls++
		}
		away, epoch, changed := l.unavailable, l.epoch, l.changed
		records := l.records[min(len(l.records), int(eventlog.Index(from))-1):]
		l.mu.Unlock()
		switch {
		case away:
			return nil, eventlog.ErrUnavailable
		case eventlog.Epoch(from) != epoch:
			return nil, &eventlog.RestoredError{Requested: from, Epoch: epoch}
		case len(records) > 0:
			list := make([]eventlog.Record, min(limit, len(records)))
			for i := range list {
				list[i] = eventlog.Record{Offset: from + uint64(i), Data: records[i]}
			}
			return list, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, nil
		case <-ctx.Done():
			return nil, eventlog.Unavailable(ctx.Err())
		}
	}
}

// latestState implements Options.LoadCheckpoint.
func (l *restoredLog) latestState(context.Context) (*fold.State, error) {
	time.Sleep(4 * time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	switch n := len(l.records); {
	case l.unavailable:
		return nil, eventlog.ErrUnavailable
	case n == 0:
		return fold.EmptyAt(eventlog.MakeOffset(l.epoch, 0)), nil
	default:
		return fold.FromDocument(eventlog.MakeOffset(l.epoch, uint64(n)), l.records[n-1])
	}
}

// newRestoredFleet returns a fleet over a log that the test restores. It fails the test if a node
// goes back to an older document.
func newRestoredFleet(t *testing.T, log *restoredLog, size, zones int) *fleet {
	f := newFleet(t, size, zones, func(o *Options) {
		o.LogReportsRestores, o.LoadCheckpoint = true, log.latestState
		check := o.OnState
		highest := uint64(0)
		o.OnState = func(st *fold.State) {
			check(st)
			if v := st.Document().GetVersion(); v < highest {
				t.Errorf("%s: document went back from version %d to %d", o.Host, highest, v)
			} else {
				highest = v
			}
		}
	})
	for _, n := range f.nodes {
		n.Log = log
	}
	return f
}

// awaitVersion waits until all live nodes have a version of the document and returns how long that
// took.
func (f *fleet) awaitVersion(version uint64, limit time.Duration) time.Duration {
	f.t.Helper()
	began := time.Now()
	for tick := 1; ; tick++ {
		lacking := 0
		for _, n := range f.nodes {
			if !n.dead.Load() && n.State().Document().GetVersion() < version {
				lacking++
			}
		}
		if lacking == 0 {
			return time.Since(began)
		}
		if time.Since(began) > limit {
			f.t.Fatalf("%d nodes have not reached version %d after %v", lacking, version, limit)
		}
		time.Sleep(time.Millisecond)
		if tick%1000 == 0 {
			f.probe()
		}
	}
}

// Over any series of writes, restores, outages and lost connections to the log, no version may be
// lost and no daemon may go back to an older one.
func TestRestores_RandomSeries(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 7))
			log := newRestoredLog(t)
			f := newRestoredFleet(t, log, 14, 4)
			f.run()
			version := uint64(1)
			log.write(version)
			for range 12 {
				switch rnd.IntN(5) {
				case 0, 1:
					version += 1 + rnd.Uint64N(4)
					log.write(version)
				case 2:
					log.setUnavailable(true)
					time.Sleep(time.Duration(rnd.IntN(3000)) * time.Millisecond)
					log.restore(rnd.IntN(log.len() + 1))
					log.setUnavailable(false)
					time.Sleep(time.Duration(rnd.IntN(2000)) * time.Millisecond)
					// The operator writes the lost document again.
					log.write(version)
				case 3:
					log.restore(rnd.IntN(log.len() + 1))
					if rnd.IntN(2) == 0 {
						version++
					}
					log.write(version)
				case 4:
					n := f.nodes[rnd.IntN(len(f.nodes))]
					n.disconnectLog()
				}
				time.Sleep(time.Duration(rnd.IntN(4000)) * time.Millisecond)
				f.probe()
			}
			version++
			log.write(version)
			f.awaitVersion(version, 20*time.Second)
		})
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// A version written right after a restore must reach all daemons within 2 s.
func TestRestore_NextVersionArrivesInTime(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 11))
			log := newRestoredLog(t)
			f := newRestoredFleet(t, log, 14, 4)
			f.run()
			for version := range uint64(8) {
				log.write(version + 1)
			}
			f.awaitVersion(8, 10*time.Second)
			log.setUnavailable(true)
			time.Sleep(3 * time.Second)
			log.restore(3 + rnd.IntN(4))
			log.setUnavailable(false)
			// Hosts in normal operation are connected to the store again three seconds after its
			// return.
			time.Sleep(3 * time.Second)
			log.write(9)
			took := f.awaitVersion(9, 10*time.Second)
			must.LessEq(t, 2*time.Second, took)
		})
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// The cost of a restore may grow at most linearly: reads with the zones, bytes with the nodes.
func TestRestore_Cost(t *testing.T) {
	for _, c := range []struct{ size, zones int }{{14, 4}, {90, 4}, {910, 8}} {
		synctest.Test(t, func(t *testing.T) {
			log := newRestoredLog(t)
			f := newRestoredFleet(t, log, c.size, c.zones)
			f.run()
			for version := range uint64(8) {
				log.write(version + 1)
			}
			f.awaitVersion(8, 10*time.Second)
			reads, pulls, bytes := log.callCount(), f.traffic.pulls.Load(), f.traffic.bytes.Load()
			log.restore(4)
			f.await(eventlog.MakeOffset(2, 4), 20*time.Second)
			for range 5 {
				time.Sleep(time.Second)
				f.probe()
			}
			perNode := (f.traffic.bytes.Load() - bytes) / int64(c.size)
			t.Logf("%d nodes: %d reads, %.1f pulls per node, %d bytes per node", c.size, log.callCount()-reads,
				float64(f.traffic.pulls.Load()-pulls)/float64(c.size), perNode)
			// Readers poll every 2 s and make two calls at the restore.
			must.LessEq(t, c.zones*2*6, log.callCount()-reads)
			must.LessEq(t, 10<<10, perNode)
		})
	}
}

// A daemon starts from a restored log, at the same offset as daemons that kept a newer document. It
// must obtain that document from them.
func TestRestore_DaemonStartedFromRestoredLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newRestoredLog(t)
		f := newRestoredFleet(t, log, 5, 2)
		late := f.nodes[4]
		late.dead.Store(true)
		f.run()
		for version := range uint64(4) {
			log.write(version + 1)
		}
		f.awaitVersion(4, 10*time.Second)
		log.restore(2)
		f.await(eventlog.MakeOffset(2, 2), 10*time.Second)
		st, err := log.latestState(t.Context())
		must.NoError(t, err)
		late.dead.Store(false)
		late.run()
		late.InstallStateFromLog(st)
		f.setViews()
		f.awaitVersion(4, 10*time.Second)
		must.Eq(t, eventlog.MakeOffset(2, 2), late.State().Offset)
	})
}
