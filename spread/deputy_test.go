package spread

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/internal/loop"
)

const (
	// maxStretch is how much later a version may be in force while the log serves only a part of the
	// hosts.
	maxStretch = 5 * time.Second
	// refusedShare is the share of the hosts that the log turns away at most.
	refusedShare = 0.35
)

// refusingLog turns away a daemon while refuses is set. It counts its reads.
type refusingLog struct {
	eventlog.Log
	refuses atomic.Bool
	// silent makes it leave reads without an answer, which the client gives up after readTimeout or
	// after the wait and waitSlack.
	silent bool
	reads  atomic.Int64
}

// The timeouts of the client of the platform's store, see package platform.
const (
	readTimeout = 1250 * time.Millisecond
	waitSlack   = 750 * time.Millisecond
)

func (l *refusingLog) Read(ctx context.Context, from eventlog.Offset, limit int, wait time.Duration) ([]eventlog.Record, error) {
	l.reads.Add(1)
	if !l.refuses.Load() {
		return l.Log.Read(ctx, from, limit, wait)
	}
	if l.silent {
		select {
		case <-time.After(max(readTimeout, wait+waitSlack)):
		case <-ctx.Done():
		}
	}
	return nil, eventlog.ErrUnavailable
}

// newRefusableFleet returns a fleet whose log turns hosts away one by one.
func newRefusableFleet(t *testing.T, size, zones int, silent bool) (f *fleet, logs []*refusingLog) {
	f = newFleet(t, size, zones, func(o *Options) {
		l := &refusingLog{Log: o.Log, silent: silent}
		logs = append(logs, l)
		o.Log, o.LogReportsRestores, o.OwnReadAfter = l, true, deployedOwnReadAfter
	})
	return f, logs
}

// turnAway makes the log turn away the readers of all zones and random others, refusedShare of the hosts
// in all.
func (f *fleet) turnAway(logs []*refusingLog, rng *rand.Rand) {
	left := int(refusedShare * float64(len(logs)))
	for i, n := range f.nodes {
		if n.topology.Load().rank != notRanked {
			logs[i].refuses.Store(true)
			left--
		}
	}
	for _, i := range rng.Perm(len(logs)) {
		if left > 0 && !logs[i].refuses.Load() {
			logs[i].refuses.Store(true)
			left--
		}
	}
}

// Guards against versions that nobody reads: the log turns away those that read it, which live and are in
// contact with the others, and would serve the others.
func TestReadersThatAreTurnedAwayAreReplacedInTime(t *testing.T) {
	for _, silent := range []bool{false, true} {
		for seed := range uint64(25) {
			synctest.Test(t, func(t *testing.T) {
				f, logs := newRefusableFleet(t, 24, 3, silent)
				f.run()
				f.probeOften()
				f.turnAway(logs, rand.New(rand.NewPCG(seed, 1)))
				time.Sleep(time.Duration(seed) * 100 * time.Millisecond)
				replaces := uint64(0)
				for _, id := range []string{"a", "b", "c"} {
					offset := f.append(contractChange(id, replaces))
					replaces = offset
					time.Sleep(configApply + maxStretch)
					must.Zero(t, f.countBehind(offset), must.Sprintf("silent %t, seed %d, version %s", silent, seed, id))
				}
			})
		}
	}
}

// probeOften exchanges offsets as membership does, until the test ends.
func (f *fleet) probeOften() {
	ctx, stop := context.WithCancel(context.Background())
	f.t.Cleanup(stop)
	go func() {
		for loop.Sleep(ctx, 500*time.Millisecond) {
			f.probe()
		}
	}()
}

// Guards against a fleet that adds load to a log which serves nobody: the requests of the readers may cause
// as many reads as the readers themselves, and no more.
func TestReadersOfLogThatServesNobodyAddFewReads(t *testing.T) {
	const outage = time.Minute
	synctest.Test(t, func(t *testing.T) {
		f, logs := newRefusableFleet(t, 240, 6, false)
		f.run()
		f.probeOften()
		for _, l := range logs {
			l.refuses.Store(true)
			l.reads.Store(0)
		}
		time.Sleep(outage)
		byReaders, byOthers := int64(0), int64(0)
		for i, n := range f.nodes {
			if n.topology.Load().rank != notRanked {
				byReaders += logs[i].reads.Load()
				continue
			}
			byOthers += logs[i].reads.Load()
		}
		t.Logf("in %v readers have read %d times, others %d times", outage, byReaders, byOthers)
		must.LessEq(t, byReaders, byOthers)
	})
}
