package balance

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/errkind"
)

const (
	// minLinkBody is the length, in bytes, above which a body is placed by the hosts' links. Bodies up
	// to this length may be sent along with their calls, so that a gate cannot delay them.
	minLinkBody = 16 << 10
	// linkReportTTL is how long a gate's report of its link and its queue is used. The bodies that a
	// report counts are carried by then, since calls with a longer wait are rejected.
	linkReportTTL = instant(time.Second)
	// serviceMargin is the part of the service time by which an answer may take longer than the mean, two
	// mean deviations of a service time that varies by 0.3.
	serviceMargin = 0.5
	// linkWaitMargin is the part of the link wait by which it may be longer than forecast: it is known from
	// reports that are up to some 100 ms old, and daemons pause while their processor quota is used up.
	// Without this margin, a third of the uploads are late when demand just exceeds the links.
	linkWaitMargin = 0.5
	// remoteReserve is the part of the time left that must remain at a server outside the availability
	// zone. Zones whose links are equally busy would otherwise exchange uploads.
	remoteReserve = 0.25
	// minWaitDivisor is the inverse of the part of the time left that a call may wait in any case. Without
	// it, calls whose work takes nearly as long as their objective would be rejected at idle servers.
	minWaitDivisor = 8
)

var errLinksBusy = errkind.New(errkind.Overloaded, "no backend server of the service can receive the request body and answer in time")

// linkState is what is known of the network link of a server's host. The time of the report is
// serverStats.reportedAt.
type linkState struct {
	// wait is the expected time until the link has carried the bodies already requested, and service
	// the mean time for which a call holds its slot, as the gate reported them.
	wait, service atomicInstant
	// unreported is the number of bytes of bodies that this daemon has assigned to the server and that
	// no report of the gate includes yet.
	unreported atomic.Int64
}

func (s *linkState) record(l *Load) {
	s.wait.store(instant(l.LinkWait))
	s.service.store(instant(l.ServiceTime))
}

// linkLease accounts for the body of one call placed by the hosts' links. It is zero for other calls.
type linkLease struct {
	// maxWait is how long the call may wait at the gate, 0 for no limit.
	maxWait time.Duration
	bytes   int64
	settled atomic.Bool
}

// settle removes the body from those that no report includes. Only the first call has an effect.
func (l *linkLease) settle(st *serverStats) {
	if l.bytes > 0 && !l.settled.Swap(true) {
		st.link.unreported.Add(-l.bytes)
	}
}

// MaxWait returns how long a call that was placed by the hosts' links may wait at the gate, for the
// link or for a slot. It is 0 for other calls and for calls without a limit.
func (l *Lease) MaxWait() time.Duration { return l.link.maxWait }

// InZone reports whether the server is in the availability zone of this daemon.
func (l *Lease) InZone() bool { return l.member.local }

// Report records the load that a gate reports when it requests the body of a call. From then on the
// gate's reports include that body.
func (l *Lease) Report(load *Load) {
	if load == nil || !l.picker.opts.LinkPlacement || l.ended.Load() {
		return
	}
	st := l.member.stats
	l.link.settle(st)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.recordLoad(load, l.picker.now())
}

// PlacesByLink reports whether PickWithOptions places a body of the given length by the links of the
// servers' hosts. Without any known bandwidth it is placed like other calls.
func (p *Picker) PlacesByLink(servers []*backend.Server, bodyBytes int64) bool {
	if !p.opts.LinkPlacement || bodyBytes <= minLinkBody {
		return false
	}
	for _, s := range servers {
		if s.LinkMbps > 0 {
			return true
		}
	}
	return false
}

// linkPlacement is the placement of one call with a large body.
type linkPlacement struct {
	opts PickOptions
	plan *plan
	// hasLocal is whether the availability zone has servers that take calls.
	hasLocal bool
	// host is the host of the daemon that sends the call.
	host string
	now  instant
}

// pickByLink picks a server inside the availability zone that is expected to answer in time. If there
// is none, it picks one outside. The call is rejected if no server is expected to answer in time.
func (p *Picker) pickByLink(pool *pool, plan *plan, opts PickOptions, now instant) (*Lease, error) {
	lp := linkPlacement{opts: opts, plan: plan, host: p.opts.Host, now: now}
	var late []*member
	for _, t := range plan.tiers {
		local, remote := lp.eligible(t)
		for _, group := range [...][]*member{local, remote} {
			if len(late) > 0 && len(group) > 0 && group[0].server.Suspect {
				// A call to a silent host ends only at its timeout.
				continue
			}
			if m := p.drawByLink(group, lp); m != nil {
				return p.linkLease(pool, m, lp), nil
			}
		}
		late = append(append(late, local...), remote...)
	}
	if len(late) == 0 {
		return nil, errNoBackend
	}
	return nil, errLinksBusy.WithRetryAfter(lp.shortestWait(late))
}

// eligible returns the members of a tier inside and outside the availability zone that the call may be
// sent to, and notes whether the tier has members inside.
func (lp *linkPlacement) eligible(t tier) (local, remote []*member) {
	for _, group := range t {
		for _, m := range group {
			lp.hasLocal = lp.hasLocal || m.local
			switch {
			case lp.opts.Exclude != nil && lp.opts.Exclude(m.server.ID):
			case m.local:
				local = append(local, m)
			default:
				remote = append(remote, m)
			}
		}
	}
	return local, remote
}

// drawByLink draws two random members of the group that are expected to answer in time and returns the
// one with the lower cost, or nil if there is none.
func (p *Picker) drawByLink(group []*member, lp linkPlacement) *member {
	n := len(group)
	if n == 0 {
		return nil
	}
	var best, rampingUp *member
	drawn, start := 0, p.opts.Rand(n)
	for i := 0; i < n && drawn < 2; i++ {
		m := group[(start+i)%n]
		if lp.late(m) {
			continue
		}
		if w := m.slowStartWeight(lp.now); w < 1 && float64(p.opts.Rand(slowStartSteps)) >= w*slowStartSteps {
			rampingUp = m
			continue
		}
		drawn++
		if best == nil || lp.cost(m) < lp.cost(best) {
			best = m
		}
	}
	if best == nil {
		return rampingUp
	}
	return best
}

func (p *Picker) linkLease(pool *pool, m *member, lp linkPlacement) *Lease {
	l := p.lease(pool, m, lp.opts, p.now(), false)
	l.link.maxWait = lp.maxWait(m)
	if lp.usesLink(m) {
		l.link.bytes = lp.opts.BodyBytes
		m.stats.link.unreported.Add(l.link.bytes)
	}
	return l
}

// usesLink reports whether the body reaches the member over a link of known bandwidth.
func (lp linkPlacement) usesLink(m *member) bool {
	return m.server.LinkMbps > 0 && m.server.Host != lp.host
}

// linkTime returns how long the member's link takes to carry the given number of bytes.
func (lp linkPlacement) linkTime(m *member, bytes int64) time.Duration {
	if !lp.usesLink(m) {
		return 0
	}
	return time.Duration(float64(bytes) * 8 / (m.server.LinkMbps * 1e6) * float64(time.Second))
}

// reported returns what is left of a wait that the member's gate reported. A report that is too old
// counts as none.
func (lp linkPlacement) reported(m *member, wait instant) time.Duration {
	if !lp.hasReport(m) {
		return 0
	}
	return time.Duration(max(wait-lp.age(m), 0))
}

func (lp linkPlacement) age(m *member) instant { return lp.now - m.stats.reportedAt.load() }

func (lp linkPlacement) hasReport(m *member) bool {
	return m.stats.reportedAt.load() != 0 && lp.age(m) < linkReportTTL
}

// linkWait returns the expected time until the member's link has carried the bodies before this one.
func (lp linkPlacement) linkWait(m *member) time.Duration {
	if !lp.usesLink(m) {
		return 0
	}
	return lp.reported(m, m.stats.link.wait.load()) + lp.linkTime(m, m.stats.link.unreported.Load())
}

func (lp linkPlacement) slotWait(m *member) time.Duration {
	return max(lp.reported(m, m.stats.reportedWait.load()), m.stats.rateWait(lp.now))
}

// transferTime returns how long the member's link takes to carry the body.
func (lp linkPlacement) transferTime(m *member) time.Duration {
	return lp.linkTime(m, lp.opts.BodyBytes)
}

// late reports whether the call would wait too long at the member, or its answer is expected too late.
// Slots become free while the body is received, so that the waits for the link and for a slot overlap. A
// service time from an old report does not count: if it made a call late, no call would be sent that
// brings a new report.
func (lp linkPlacement) late(m *member) bool {
	if lp.opts.MaxWait > 0 && max(lp.linkWait(m), lp.slotWait(m)) > lp.opts.MaxWait {
		return true
	}
	wait := lp.linkWait(m)
	if max(wait, lp.slotWait(m)) <= lp.opts.TimeLeft/minWaitDivisor || lp.opts.TimeLeft == 0 {
		return false
	}
	margin := time.Duration(linkWaitMargin*float64(wait)) + lp.serviceTime(m) + lp.hop(m)
	return max(wait+lp.transferTime(m), lp.slotWait(m))+margin > lp.timeLeft(m)
}

// timeLeft returns the time within which the member must be expected to answer.
func (lp linkPlacement) timeLeft(m *member) time.Duration {
	if m.local || !lp.hasLocal {
		return lp.opts.TimeLeft
	}
	return time.Duration((1 - remoteReserve) * float64(lp.opts.TimeLeft))
}

// serviceTime returns the time that the call needs in its slot with a margin, 0 if it is not known.
func (lp linkPlacement) serviceTime(m *member) time.Duration {
	if !lp.hasReport(m) {
		return 0
	}
	return time.Duration((1 + serviceMargin) * float64(m.stats.link.service.load()))
}

func (lp linkPlacement) hop(m *member) time.Duration {
	return time.Duration(m.hop * float64(time.Second))
}

// maxWait returns how long the call may wait at the member's gate, 0 for no limit. The gate applies it
// to its own view of the link, which is more recent.
func (lp linkPlacement) maxWait(m *member) time.Duration {
	wait := lp.opts.MaxWait
	if lp.opts.TimeLeft > 0 {
		left := lp.timeLeft(m) - lp.serviceTime(m) - lp.hop(m) - lp.transferTime(m)
		left = max(time.Duration(float64(left)/(1+linkWaitMargin)), lp.opts.TimeLeft/minWaitDivisor, time.Millisecond)
		if wait == 0 || left < wait {
			wait = left
		}
	}
	return wait
}

// cost returns the expected cost, in seconds, of the call at the member. Unlike member.cost, it does
// not use the measured latency, which includes the times that bodies waited for the link.
func (lp linkPlacement) cost(m *member) float64 {
	st, typical := m.stats, lp.plan.baseline
	service := time.Duration(st.link.service.load()).Seconds()
	if service == 0 {
		service = typical.latency
	}
	excessFailureRate := max(st.currentFailureRate(lp.now)-typical.failureRate-failureTolerance, 0)
	otherLoad := blend(typical.load, st.otherLoad.load(), decay(lp.age(m), loadReportHalfLife))
	load := float64(st.inFlight.Load())/m.slots() + otherLoad
	start := max(lp.linkWait(m)+lp.transferTime(m), lp.slotWait(m)).Seconds()
	return m.hop + start + service*(1+load) + excessFailureRate*failureCost*typical.latency
}

// shortestWait returns the shortest wait for a link or a slot.
func (lp linkPlacement) shortestWait(members []*member) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, m := range members {
		shortest = min(shortest, max(lp.linkWait(m), lp.slotWait(m)))
	}
	return shortest
}
