package daemon

import (
	"cmp"
	"context"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/internal/settings"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/peerpb"
	"github.com/crocuscross/crocuscross/recovery"
	"github.com/crocuscross/crocuscross/spread"
)

const (
	// storeReadTimeout bounds one read from the platform's store during a recovery. The client of
	// the store aborts a read that receives nothing for 2 s; this timeout bounds a read that keeps
	// receiving data. A document of 5,800 routes (1.6 MB as the store sends it) takes 2.8 s on an
	// idle link of 5 Mbit/s, and the largest accepted document takes 57 s on half of such a link.
	// Hosts whose reads are aborted earlier start over each time and serve nothing after a power
	// loss.
	storeReadTimeout = 2 * time.Minute
	// maxStoreBackoff bounds the wait between two rounds of a recovery while neither the store nor
	// enough daemons answer.
	maxStoreBackoff = time.Second
	// queryFanOut is the number of daemons that are queried for the floor in one round.
	queryFanOut = 6
	// sufficientAnswers is the number of answers that a start with a metadata store waits for. It
	// is above the number needed to know the floor (recovery.Options.MinAnswers), so that an answer
	// from one daemon that has just started as well does not make a read of the store necessary.
	sufficientAnswers = 4
)

// recoverConfiguration determines the floor, which is the newest version that this host is known to
// have had in force, obtains a state that is not older, and starts serving.
func (d *Daemon) recoverConfiguration(ctx context.Context) error {
	// The daemon keeps joining after this timeout.
	joinTimer := time.NewTimer(time.Duration(d.settings.Membership.JoinTimeout))
	defer joinTimer.Stop()
	select {
	case <-d.joined:
	case <-joinTimer.C:
	case <-ctx.Done():
		return nil
	}
	r, err := recovery.Recover(ctx, d.recoveryOptions())
	if err != nil {
		return err
	}
	d.logger.Info("daemon: recovered", "offset", r.State.Offset, "floor", r.Floor, "from", r.From.String())
	d.board.Floor.Store(&blackboard.Floor{Offset: r.Floor, Known: true, Reason: string(r.Problem)})
	if r.From == recovery.FromCheckpoint {
		d.spreader.InstallStateFromLog(r.State)
	} else {
		d.spreader.InstallState(r.State)
	}
	d.lifecycle.Serving()
	return nil
}

// recoveryOptions returns the options for a recovery from the log in use.
func (d *Daemon) recoveryOptions() recovery.Options {
	o := recovery.DefaultOptions()
	o.Host = d.settings.Host
	o.Peers = recoveryPeers{d}
	o.Config = d.configLog()
	if d.adapter != nil {
		o.LoadCheckpoint = d.latestState
		// The store can answer all daemons of a fleet that starts at once, and callers wait for
		// each daemon.
		o.Stagger, o.MaxBackoff = 0, maxStoreBackoff
		o.LogTimeout, o.FetchTimeout = storeReadTimeout, storeReadTimeout
		o.PreferPeers, o.LogDelay = true, d.logDelay
	} else {
		o.Checkpoints = d.log.Stream(eventlog.StreamCheckpoints)
	}
	o.Report = d.reportRecovery
	o.Logger = d.logger
	return o
}

// reportRecovery publishes the floor and the problem after a round that found no state to serve.
func (d *Daemon) reportRecovery(dec recovery.Decision) {
	d.board.Floor.Store(&blackboard.Floor{Offset: dec.Floor, Reason: string(dec.Problem)})
}

// recoveryPeers sends the queries of a recovery to other daemons.
type recoveryPeers struct{ d *Daemon }

// Ask implements recovery.Peers. It queries a few daemons, half of them in the availability zone of
// this daemon: a state that daemons of both halves hold is then fetched within the zone.
func (p recoveryPeers) Ask(ctx context.Context) recovery.PeerAnswers {
	others := p.otherMembers()
	result := recovery.PeerAnswers{Known: len(others)}
	queried := p.selectPeers(others)
	answers := make(chan *recovery.PeerAnswer, len(queried))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, m := range queried {
		go func() {
			a, err := p.queryPosition(ctx, m)
			if err != nil {
				answers <- nil
				return
			}
			answers <- &a
		}()
	}
	for range queried {
		a := <-answers
		if a == nil {
			continue
		}
		result.Answers = append(result.Answers, *a)
		if p.d.usesMetadataStore() && len(result.Answers) >= sufficientAnswers {
			// A daemon that does not answer must not delay the start until its query times out.
			break
		}
	}
	p.sortByZone(result.Answers)
	return result
}

// selectPeers selects the daemons to query: half of them in the availability zone of this daemon,
// and in each half live members before others.
func (p recoveryPeers) selectPeers(others []*membership.Member) []*membership.Member {
	return selectRecoveryPeers(p.d.membership.View().Self, others)
}

// selectRecoveryPeers draws the daemons to query from the half of the members that precede this
// daemon in the order of readers. When a whole fleet starts, the first of that order have the
// configuration first, and it reaches all others along a tree in which no daemon is asked by many.
// Hosts with fast links precede others. It reorders others.
func selectRecoveryPeers(self *membership.Member, others []*membership.Member) []*membership.Member {
	slices.SortFunc(others, func(a, b *membership.Member) int {
		return cmp.Or(cmp.Compare(a.Liveness, b.Liveness), spread.CompareReaders(a, b))
	})
	var sameZone, otherZones []*membership.Member
	precedeSame, precedeOther := 0, 0
	for _, m := range others {
		precedes := count(m.Liveness == membership.Alive && spread.CompareReaders(m, self) < 0)
		if m.AvailabilityZone == self.AvailabilityZone {
			sameZone, precedeSame = append(sameZone, m), precedeSame+precedes
		} else {
			otherZones, precedeOther = append(otherZones, m), precedeOther+precedes
		}
	}
	n := min(len(sameZone), max(queryFanOut/2, queryFanOut-len(otherZones)))
	return slices.Concat(drawFirst(sameZone, n, precedeSame/2), drawFirst(otherZones, min(queryFanOut-n, len(otherZones)), precedeOther/2))
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// drawFirst draws n of the first members of list, of the first n if first is less. It reorders
// list.
func drawFirst(list []*membership.Member, n, first int) []*membership.Member {
	pool := list[:min(max(n, first), len(list))]
	rand.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
	return pool[:n]
}

// Delays until a daemon without a configuration asks the log, counted from the creation of the daemon
// or, for the delay by rank, from when it knows another member.
const (
	// logDelayPerLevel is the time in which a configuration passes from a daemon to those that query
	// it: one query interval, and the transfer over a slow link.
	logDelayPerLevel = 350 * time.Millisecond
	// aloneLogDelay is the delay while no other member is known and the join goes on.
	aloneLogDelay = time.Second
	// firstStartLogDelay is that delay in the first start of the fleet.
	firstStartLogDelay = 2500 * time.Millisecond
)

// logDelay returns how much longer this daemon waits for the configuration of others before it asks
// the log. The wait by rank begins when it knows another member: until then nobody could be queried.
func (d *Daemon) logDelay() time.Duration {
	view := d.membership.View()
	if len(view.Live()) > 1 {
		d.othersKnown.CompareAndSwap(0, int64(time.Since(d.created)))
		known := time.Duration(d.othersKnown.Load())
		return known + logDelayOfRank(spread.ReaderRank(view), d.settings.Spread.ReadersPerZone) - time.Since(d.created)
	}
	select {
	case <-d.joined:
		return 0
	default:
	}
	if d.settings.FirstStart == settings.On {
		return firstStartLogDelay - time.Since(d.created)
	}
	return aloneLogDelay - time.Since(d.created)
}

// logDelayOfRank returns the delay of the daemon with a rank among the readers of its availability
// zone. The configuration reaches it along a tree whose depth is the logarithm of the rank.
func logDelayOfRank(rank, readers int) time.Duration {
	if rank < readers {
		return 0
	}
	return time.Duration(bits.Len(uint(rank/max(readers, 1)))) * logDelayPerLevel
}

// sortByZone moves the answers of daemons in the availability zone of this daemon to the front.
func (p recoveryPeers) sortByZone(answers []recovery.PeerAnswer) {
	view := p.d.membership.View()
	zoneRank := func(a recovery.PeerAnswer) int {
		if m := view.Find(a.Host); m != nil && m.AvailabilityZone == p.d.settings.AvailabilityZone {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(answers, func(a, b recovery.PeerAnswer) int { return zoneRank(a) - zoneRank(b) })
}

// otherMembers returns the members on other hosts that have not left. Members that are considered
// dead may be alive on the other side of a network partition.
func (p recoveryPeers) otherMembers() []*membership.Member {
	var others []*membership.Member
	for _, m := range p.d.membership.View().Members {
		if m.Host != p.d.settings.Host && m.Liveness != membership.Left {
			others = append(others, m)
		}
	}
	return others
}

// queryPosition requests the position of the version in force on another daemon and the floor that
// it knows for this host.
func (p recoveryPeers) queryPosition(ctx context.Context, m *membership.Member) (recovery.PeerAnswer, error) {
	host := p.d.settings.Host
	ans, err := p.pull(ctx, m, &peerpb.Pull{Host: host, FloorOnly: true})
	if err != nil {
		return recovery.PeerAnswer{}, err
	}
	a := recovery.PeerAnswer{
		Host:     m.Host,
		Position: recovery.Position{Offset: ans.GetOffset()},
		// The floor from the membership tables received in the join counts as well.
		Floor: max(ans.GetFloor(), p.d.membership.Floor(host)),
	}
	copy(a.Chain[:], ans.GetChain())
	return a, nil
}

func (p recoveryPeers) pull(ctx context.Context, m *membership.Member, req *peerpb.Pull) (*peerpb.PullAnswer, error) {
	return spread.NewPoolPeers(p.d.controlPool).Pull(ctx, m.PeerAddr, req)
}

// State implements recovery.Peers.
func (p recoveryPeers) State(ctx context.Context, host string) (*fold.State, error) {
	m := p.d.membership.View().Find(host)
	if m == nil {
		return nil, errors.Newf("host %s is not a known member", host)
	}
	ans, err := p.pull(ctx, m, &peerpb.Pull{Host: p.d.settings.Host, WholeState: true, TakesPacked: true})
	if err != nil {
		return nil, err
	}
	state, err := spread.StateOf(ans)
	if err != nil {
		return nil, err
	}
	if state == nil {
		return nil, errors.Newf("host %s returned no state", host)
	}
	return fold.Decode(state)
}
