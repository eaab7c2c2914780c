package quota

import "time"

// While other daemons take this one for unreachable, they elect other owners for its customers, which
// may grant whole contracts. This daemon need not notice: it may have been paused, and one that hears
// from nobody takes itself for faulty and suspects nobody, so that its view of the fleet does not change.
// The owner therefore detects such an absence by itself and settles all ledgers before it grants more
// than its holders have.

// absence is a sign that other daemons may have elected other owners.
type absence string

const (
	present absence = ""
	// paused means that the process did not run for a while.
	paused absence = "paused"
	// silent means that no other member has been heard for so long that the others may have elected
	// other owners. It lasts until one is heard.
	silent absence = "no member is heard"
	// declaredDead means that another member held this process for dead.
	declaredDead absence = "declared dead"
)

// contactTimeout is the shortest time after which other daemons elect another owner in place of one
// that they do not hear: a probe, and the grace of a suspect member.
func (o Options) contactTimeout() time.Duration { return o.ProbeInterval + suspectGrace }

// detectAbsence settles all ledgers if other daemons may have elected other owners. It must be called
// before the owner acts.
func (o *owner) detectAbsence(now time.Duration) {
	sign := o.absence(now)
	ended := sign == present && o.silent
	if sign == present && !ended {
		return
	}
	o.silent = sign == silent
	// To the other holders the owner is another one than before, and they report to it by themselves.
	o.reportAgain = !o.silent
	continues := now-o.lastSign < minSettleTime
	o.lastSign = now
	switch {
	case ended:
		o.opts.Logger.Info("quota: members are heard again", "owned", len(o.opensAt))
	case !continues:
		o.opts.Logger.Warn("quota: ownership starts anew", "reason", string(sign), "owned", len(o.opensAt))
	}
	o.settleUntil = now + o.opts.settleTime()
	for customer := range o.opensAt {
		o.opensAt[customer] = o.settleUntil
		if l := o.ledgers[customer]; l != nil && o.fleet != nil {
			l.sweep(now, o.fleet)
			l.settleAgain(o.settleUntil, now, continues)
		}
	}
}

// absence returns the current sign of an absence.
func (o *owner) absence(now time.Duration) absence {
	gap := now - o.lastHeartbeat
	if o.running && gap > maxHeartbeatGap {
		o.lastHeartbeat = now
		// The holders whose requests waited during the pause have given up on them. If these
		// claims were accepted, the holders would be charged for what they no longer hold.
		o.refuseUntil = now + requestTimeout
		return paused
	}
	if o.opts.Standing == nil {
		return present
	}
	s := o.opts.Standing()
	if s.DeclaredDeadAt.After(o.declaredDeadAt) {
		o.declaredDeadAt = s.DeclaredDeadAt
		return declaredDead
	}
	othersReachable := o.fleet != nil && len(o.fleet.reachable) > 1
	if othersReachable && !s.HeardAt.IsZero() && o.opts.Now().Sub(s.HeardAt) > o.opts.contactTimeout() {
		return silent
	}
	return present
}

// takeReportAgain reports once after each absence whether the holder of this daemon must report what it
// holds.
func (o *owner) takeReportAgain() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	again := o.reportAgain
	o.reportAgain = false
	return again
}
