package quarantine

import "time"

// verdictEndTolerance is the difference below which the ends of two verdicts on one request
// count as equal. Daemons decide at different moments and by clocks that differ by seconds.
const verdictEndTolerance = time.Minute

// countCrash adds a crash to a request's count. At the threshold it quarantines the request, or
// clears it if the server beside this daemon completed it recently.
func (l *Tracker) countCrash(id Identity, from noteID, now time.Time) {
	s := l.getOrAddSuspect(id, now)
	if s == nil {
		return
	}
	s.crashes[from] = now
	threshold := l.opts.CrashThreshold
	if s.onProbation(now) {
		threshold = 1
	}
	if len(s.crashes) < threshold || s.inForce(now) {
		return
	}
	if l.successes.has(id, now) {
		l.clearRequest(id, "a backend server completed it recently")
		return
	}
	l.addVerdict(id, s, now)
}

// addVerdict quarantines a request unless the maximum of verdicts in force is reached.
func (l *Tracker) addVerdict(id Identity, s *suspect, now time.Time) {
	if len(l.inForce(now)) >= l.opts.MaxVerdicts {
		l.opts.Logger.Warn("quarantine: request not quarantined, too many verdicts in force", "identity", id.String())
		return
	}
	duration := l.opts.Duration
	if s.verdict != nil {
		duration = min(2*s.verdict.Duration, l.opts.MaxDuration)
	}
	s.verdict = &Verdict{Identity: id, Until: now.Add(duration), Duration: duration}
	l.opts.Logger.Warn("quarantine: request kept from backend servers", "identity", id.String(),
		"servers_ended", len(s.crashes), "until", s.verdict.Until)
	l.publish(now)
}

// adoptVerdict accepts a verdict of another daemon, with its duration and end limited by the
// options. Verdicts that have ended, were cleared or are in force already are ignored.
func (l *Tracker) adoptVerdict(v Verdict, now time.Time) {
	v.Duration = min(max(v.Duration, l.opts.Duration), l.opts.MaxDuration)
	if latest := now.Add(v.Duration); v.Until.After(latest) {
		v.Until = latest
	}
	if !v.Until.After(now) || len(l.inForce(now)) >= l.opts.MaxVerdicts {
		return
	}
	s := l.getOrAddSuspect(v.Identity, now)
	if s == nil || !v.Until.After(s.clearedUntil) || s.verdict != nil && v.Until.Sub(s.verdict.Until) < verdictEndTolerance {
		return
	}
	s.verdict = &v
	l.opts.Logger.Info("quarantine: verdict adopted", "identity", v.Identity.String(), "until", v.Until)
	l.publish(now)
	l.notify()
}

// clearRequest removes the crashes and the verdict of a request, and publishes a clearing to the
// other daemons.
func (l *Tracker) clearRequest(id Identity, reason string) {
	now := l.opts.Now()
	until := now.Add(l.opts.Duration)
	if v := l.suspects[id].verdict; v != nil && v.Until.After(until) {
		until = v.Until
	}
	l.own.addClearing(id, until, now)
	l.applyClearing(id, until, now)
	l.opts.Logger.Info("quarantine: request cleared", "identity", id.String(), "reason", reason)
	l.notify()
}

// applyClearing removes the crashes recorded so far for a request, and its verdict if that ends
// at or before until.
func (l *Tracker) applyClearing(id Identity, until, now time.Time) {
	s := l.getOrAddSuspect(id, now)
	if s == nil {
		return
	}
	clear(s.crashes)
	s.clearedUntil = until
	if s.verdict != nil && !s.verdict.Until.After(until) {
		s.verdict = nil
	}
	l.publish(now)
}

// getOrAddSuspect returns the entry of a request and creates it if needed. It returns nil if
// there are MaxSuspects entries and all of them have verdicts in force.
func (l *Tracker) getOrAddSuspect(id Identity, now time.Time) *suspect {
	s := l.suspects[id]
	if s == nil {
		if len(l.suspects) >= l.opts.MaxSuspects && !l.evictOldest(now) {
			return nil
		}
		s = &suspect{crashes: make(map[noteID]time.Time)}
		l.suspects[id] = s
		l.suspectCount.Store(int64(len(l.suspects)))
	}
	s.lastUpdate = now
	return s
}

// evictOldest removes the least recently updated suspect without a verdict in force, and
// reports whether there was one.
func (l *Tracker) evictOldest(now time.Time) bool {
	var oldest Identity
	var found *suspect
	for id, s := range l.suspects {
		if !s.inForce(now) && (found == nil || s.lastUpdate.Before(found.lastUpdate)) {
			oldest, found = id, s
		}
	}
	delete(l.suspects, oldest)
	return found != nil
}

// Expire removes crashes and notes older than Options.Window, and the suspects that have no
// crash, verdict, probation or clearing left. The caller runs it every few seconds.
func (l *Tracker) Expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	for from, at := range l.seen {
		if now.Sub(at) > 2*l.opts.Window {
			delete(l.seen, from)
		}
	}
	if l.own.expire(now, l.opts.Window) {
		l.notify()
	}
	for id, s := range l.suspects {
		for from, at := range s.crashes {
			if now.Sub(at) > l.opts.Window {
				delete(s.crashes, from)
			}
		}
		if len(s.crashes) == 0 && !s.inForce(now) && !s.onProbation(now) && now.After(s.clearedUntil) {
			delete(l.suspects, id)
		}
	}
	l.suspectCount.Store(int64(len(l.suspects)))
	if before := l.quarantined.Load(); l.publish(now) < size(before) {
		l.notify()
	}
}

func (s *suspect) inForce(now time.Time) bool { return s.verdict != nil && s.verdict.Until.After(now) }

// onProbation reports whether the latest verdict ended less than its own duration ago.
func (s *suspect) onProbation(now time.Time) bool {
	return s.verdict != nil && !s.inForce(now) && now.Before(s.verdict.Until.Add(s.verdict.Duration))
}

// inForce returns the verdicts in force, in no particular order.
func (l *Tracker) inForce(now time.Time) []Verdict {
	var list []Verdict
	for _, s := range l.suspects {
		if s.inForce(now) {
			list = append(list, *s.verdict)
		}
	}
	return list
}

// publish replaces the map that QuarantinedFor reads by the verdicts in force, and returns
// their number.
func (l *Tracker) publish(now time.Time) int {
	list := l.inForce(now)
	if len(list) == 0 {
		l.quarantined.Store(nil)
		return 0
	}
	quarantined := make(map[Identity]time.Time, len(list))
	for _, v := range list {
		quarantined[v.Identity] = v.Until
	}
	l.quarantined.Store(&quarantined)
	return len(quarantined)
}

func size(quarantined *map[Identity]time.Time) int {
	if quarantined == nil {
		return 0
	}
	return len(*quarantined)
}
