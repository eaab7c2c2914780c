package daemon

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/internal/loop"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/peerpb"
	"github.com/crocuscross/crocuscross/recovery"
	"github.com/crocuscross/crocuscross/spread"
)

const (
	// joinTimeout bounds a join through one set of contacts. Afterwards the contacts stream is read
	// again.
	joinTimeout = 15 * time.Second
	// rejoinDelay is the initial mean wait between two joins.
	rejoinDelay = 500 * time.Millisecond
	// maxRejoinDelay bounds the mean wait between two joins. A daemon that found no contacts is not
	// necessarily the only one: the platform may have been unavailable when the contacts were read.
	maxRejoinDelay = 3 * time.Second
	// findContactsTimeout bounds a read of the contacts stream.
	findContactsTimeout = 2 * time.Second
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

// joinFleet joins the other daemons through the contacts in the settings and those in the
// platform's log. If all daemons of a fleet start at once, their contacts know no other daemon yet.
// A daemon that took the empty tables of its contacts for the complete fleet would be alone until
// the next heal interval. Each daemon therefore joins a second time shortly after the first, when
// the contacts are members, and keeps joining as long as it knows no other member.
func (d *Daemon) joinFleet(ctx context.Context) error {
	configured, err := parseContacts(d.settings.Contacts)
	if err != nil {
		return err
	}
	wait := rejoinDelay
	var known []membership.Contact
	for joins := 0; ctx.Err() == nil; {
		if len(known) == 0 {
			known = d.withLogContacts(ctx, configured)
		}
		if err := d.joinOnce(ctx, known); err != nil {
			d.logger.Warn("daemon: no contact answers", "error", err)
			known = nil
			continue
		}
		joins++
		d.joinedOnce.Do(func() { close(d.joined) })
		alone := len(d.membership.View().Live()) <= 1
		if joins > 1 && !alone {
			return nil
		}
		if alone {
			// Other daemons may have put their addresses into the log in the meantime.
			known = nil
		}
		loop.SleepJittered(ctx, wait)
		if joins > 1 {
			wait = min(2*wait, maxRejoinDelay)
		}
	}
	return nil
}

func (d *Daemon) joinOnce(ctx context.Context, contacts []membership.Contact) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	_, err := d.membership.Join(ctx, contacts)
	return err
}

// withLogContacts returns the contacts found in the platform's log, followed by the configured
// ones.
func (d *Daemon) withLogContacts(ctx context.Context, configured []membership.Contact) []membership.Contact {
	ctx, cancel := context.WithTimeout(ctx, findContactsTimeout)
	defer cancel()
	found, err := d.contacts.Find(ctx)
	if err != nil {
		d.logger.Info("daemon: contacts stream not read", "error", err)
	}
	return append(found, configured...)
}

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
		o.PreferPeers = true
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
// and in each half live members before others and fast links before slow ones, except for one
// member drawn at random. Hosts with fast links are the first to have a configuration after a power
// loss, and can send it to many others. It reorders others.
func (p recoveryPeers) selectPeers(others []*membership.Member) []*membership.Member {
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	slices.SortStableFunc(others, func(a, b *membership.Member) int {
		return cmp.Or(cmp.Compare(a.Liveness, b.Liveness), cmp.Compare(b.LinkMbps, a.LinkMbps))
	})
	var sameZone, otherZones []*membership.Member
	for _, m := range others {
		if m.AvailabilityZone == p.d.settings.AvailabilityZone {
			sameZone = append(sameZone, m)
		} else {
			otherZones = append(otherZones, m)
		}
	}
	n := min(len(sameZone), max(queryFanOut/2, queryFanOut-len(otherZones)))
	return slices.Concat(firstAndRandom(sameZone, n), firstAndRandom(otherZones, min(queryFanOut-n, len(otherZones))))
}

// firstAndRandom returns n members of list: the first n-1 and a random one of the rest. The members
// with the fastest links may all have just started. It reorders list.
func firstAndRandom(list []*membership.Member, n int) []*membership.Member {
	if n > 0 {
		other := n - 1 + rand.IntN(len(list)-n+1)
		list[n-1], list[other] = list[other], list[n-1]
	}
	return list[:n]
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
