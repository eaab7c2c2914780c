package spread

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/peerpb"
)

const (
	// configApply is the time from the acknowledgment of a version until it must be in force on each
	// daemon that reaches the log.
	configApply = 2 * time.Second
	// deployedOwnReadAfter is spread.own_read_after in deploy/daemon.jsonc.
	deployedOwnReadAfter = 1400 * time.Millisecond
)

// A daemon that was cut off from all others but not from the log served its old version for up to
// 7.5 s.
func TestCutOffDaemonReadsLogInTime(t *testing.T) {
	for published := time.Duration(0); published < 4*time.Second; published += 70 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 8, 1, func(o *Options) { o.OwnReadAfter = deployedOwnReadAfter })
			f.run()
			f.probe()
			readers := f.readers("zone-0")
			for _, n := range f.nodes {
				if n != readers[0] && n != readers[1] {
					n.dead.Store(true) // No message of others arrives; the spreader itself runs on.
				}
			}
			time.Sleep(published)
			offset := f.append(contractChange("a", 0))
			time.Sleep(configApply)
			for _, n := range f.nodes {
				must.Eq(t, offset, n.inForce.Load(), must.Sprint(n.member.Host, " published ", published, " after the cut"))
			}
		})
	}
}

// silentPeers are other daemons that do not answer.
type silentPeers struct{}

func (silentPeers) Push(ctx context.Context, _ netip.AddrPort, _ *peerpb.Push) (*peerpb.PushAck, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (silentPeers) Pull(ctx context.Context, _ netip.AddrPort, _ *peerpb.Pull) (*peerpb.PullAnswer, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// The log had dropped the next record, and the reader asked paused daemons of its zone for 6 s
// before it loaded the newest state.
func TestReaderOfTruncatedLogDoesNotWaitForSilentDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8, 1, func(o *Options) { o.Peers = silentPeers{} })
		st := fold.Empty()
		for i := range uint64(5) {
			f.append(contractChange(string('a'+rune(i)), i))
			st = f.applyLogged(st, i+1)
		}
		f.log.TruncateBefore(4)
		for _, n := range f.nodes {
			n.opts.LoadCheckpoint = func(context.Context) (*fold.State, error) { return st, nil }
		}
		f.run()
		time.Sleep(configApply)
		for _, n := range f.readers("zone-0") {
			must.Eq(t, 5, n.inForce.Load(), must.Sprint(n.member.Host))
		}
	})
}

// A daemon hears others and is not heard, as after a cut one way, and probes reach it seldom. Guards
// against a version that comes into force too late because the time until the daemon knows of it and
// the time of a vain pull add up.
func TestDaemonThatIsNotHeardReadsLogInTime(t *testing.T) {
	const probeGap = time.Second
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8, 1, func(o *Options) { o.Peers, o.OwnReadAfter = silentPeers{}, deployedOwnReadAfter })
		f.run()
		reader := f.readers("zone-0")[0].member
		probe := func(offset uint64) {
			for _, n := range f.nodes {
				n.ObserveOffset(reader.Host, reader.PeerAddr, offset)
			}
		}
		offset := f.append(contractChange("a", 0))
		time.Sleep(2 * deployedOwnReadAfter)
		for i := range uint64(20) {
			probe(offset)
			offset = f.append(contractChange("a", i+1))
			time.Sleep(probeGap)
			probe(offset)
			time.Sleep(configApply - probeGap)
			must.Zero(t, f.countBehind(offset))
		}
	})
}

// A daemon that knew of a newer version and could not pull it tried three daemons, 2 s each, before
// it read the log.
func TestDaemonReadsLogAfterFailedPull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8, 1, func(o *Options) { o.Peers, o.OwnReadAfter = silentPeers{}, deployedOwnReadAfter })
		f.run()
		f.append(contractChange("a", 0))
		time.Sleep(2 * deployedOwnReadAfter)
		must.Zero(t, f.countBehind(1))
		offset := f.append(contractChange("b", 1))
		reader := f.readers("zone-0")[0].member
		for _, n := range f.nodes {
			n.ObserveOffset(reader.Host, reader.PeerAddr, offset)
		}
		for begin := time.Now(); time.Since(begin) < configApply; time.Sleep(100 * time.Millisecond) {
			for _, n := range f.nodes {
				n.ObserveOffset(reader.Host, reader.PeerAddr, offset)
			}
		}
		must.Zero(t, f.countBehind(offset))
	})
}

// The readers of a zone are lost, and stay suspect for minutes since they are a large share of their zone.
// Guards against daemons that then serve their old version for as long: nobody reads the log, and each
// probe between two of them counts as contact.
func TestSuspectReadersAreReplacedInTime(t *testing.T) {
	const hosts, suspectAfter = 6, 1200 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, hosts, 1, func(o *Options) { o.OwnReadAfter = deployedOwnReadAfter })
		f.run()
		f.probe()
		readers := f.readers("zone-0")
		for _, n := range readers {
			n.kill()
		}
		time.Sleep(suspectAfter)
		for _, n := range readers {
			lost := *n.member
			lost.Liveness = membership.Suspect
			n.member = &lost
		}
		f.setViewsOfAll()
		offset := f.append(contractChange("a", 0))
		for begin := time.Now(); time.Since(begin) < configApply; time.Sleep(100 * time.Millisecond) {
			f.probe()
		}
		must.Zero(t, f.countBehind(offset))
	})
}
