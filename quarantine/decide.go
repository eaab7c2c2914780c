package quarantine

import "time"

// verdictEndTolerance is the difference below which the ends of two verdicts on one request
// count as equal. Daemons decide at different moments and by clocks that differ by seconds.
const verdictEndTolerance = time.Minute

// countCrash adds a crash to a request's count. At the threshold it quarantines the request, or
// clears it if the server beside this daemon completed it recently.
func (t *Tracker) countCrash(id Identity, from noteID, now time.Time) {
	s := t.getOrAddSuspect(id, now)
	if s == nil {
		return
	}
	s.crashes[from] = now
	threshold := t.opts.CrashThreshold
	if s.onProbation(now) {
		threshold = 1
	}
	if len(s.crashes) < threshold || s.inForce(now) {
		return
	}
	if t.successes.has(id, now) {
		t.clearRequest(id, "a backend server completed it recently")
		return
	}
	t.addVerdict(id, s, now)
}

// addVerdict quarantines a request unless the maximum of verdicts in force is reached.
func (t *Tracker) addVerdict(id Identity, s *suspect, now time.Time) {
	if len(t.inForce(now)) >= t.opts.MaxVerdicts {
		t.opts.Logger.Warn("quarantine: request not quarantined, too many verdicts in force", "identity", id.String())
		return
	}
	duration := t.opts.Duration
	if s.verdict != nil {
		duration = min(2*s.verdict.Duration, t.opts.MaxDuration)
	}
	s.verdict = &Verdict{Identity: id, Until: now.Add(duration), Duration: duration}
	t.opts.Logger.Warn("quarantine: request kept from backend servers", "identity", id.String(),
		"servers_ended", len(s.crashes), "until", s.verdict.Until)
	t.publish(now)
}

// adoptVerdict accepts a verdict of another daemon, with its duration and end limited by the
// options. Verdicts that have ended, were cleared or are in force already are ignored.
func (t *Tracker) adoptVerdict(v Verdict, now time.Time) {
	v.Duration = min(max(v.Duration, t.opts.Duration), t.opts.MaxDuration)
	if latest := now.Add(v.Duration); v.Until.After(latest) {
		v.Until = latest
	}
	if !v.Until.After(now) || len(t.inForce(now)) >= t.opts.MaxVerdicts {
		return
	}
	s := t.getOrAddSuspect(v.Identity, now)
	if s == nil || !v.Until.After(s.clearedUntil) || s.verdict != nil && v.Until.Sub(s.verdict.Until) < verdictEndTolerance {
		return
	}
	s.verdict = &v
	t.opts.Logger.Info("quarantine: verdict adopted", "identity", v.Identity.String(), "until", v.Until)
	t.publish(now)
	t.notify()
}

// clearRequest removes the crashes and the verdict of a request, and publishes a clearing to the
// other daemons.
func (t *Tracker) clearRequest(id Identity, reason string) {
	now := t.opts.Now()
	until := now.Add(t.opts.Duration)
	if v := t.suspects[id].verdict; v != nil && v.Until.After(until) {
		until = v.Until
	}
	t.own.addClearing(id, until, now)
	t.applyClearing(id, until, now)
	t.opts.Logger.Info("quarantine: request cleared", "identity", id.String(), "reason", reason)
	t.notify()
}

// applyClearing removes the crashes recorded so far for a request, and its verdict if that ends
// at or before until.
func (t *Tracker) applyClearing(id Identity, until, now time.Time) {
	s := t.getOrAddSuspect(id, now)
	if s == nil {
		return
	}
	clear(s.crashes)
	s.clearedUntil = until
	if s.verdict != nil && !s.verdict.Until.After(until) {
		s.verdict = nil
	}
	t.publish(now)
}

// getOrAddSuspect returns the entry of a request and creates it if needed. It returns nil if
// there are MaxSuspects entries and all of them have verdicts in force.
func (t *Tracker) getOrAddSuspect(id Identity, now time.Time) *suspect {
	s := t.suspects[id]
	if s == nil {
		if len(t.suspects) >= t.opts.MaxSuspects && !t.evictOldest(now) {
			return nil
		}
		s = &suspect{crashes: make(map[noteID]time.Time)}
		t.suspects[id] = s
		t.suspectCount.Store(int64(len(t.suspects)))
	}
	s.lastUpdate = now
	return s
}

// evictOldest removes the least recently updated suspect without a verdict in force, and
// reports whether there was one.
func (t *Tracker) evictOldest(now time.Time) bool {
	var oldest Identity
	var found *suspect
	for id, s := range t.suspects {
		if !s.inForce(now) && (found == nil || s.lastUpdate.Before(found.lastUpdate)) {
			oldest, found = id, s
		}
	}
	delete(t.suspects, oldest)
	return found != nil
}

// Expire removes crashes and notes older than Options.Window, and the suspects that have no
// crash, verdict, probation or clearing left. The caller runs it every few seconds.
func (t *Tracker) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	for from, at := range t.seen {
		if now.Sub(at) > 2*t.opts.Window {
			delete(t.seen, from)
		}
	}
	if t.own.expire(now, t.opts.Window) {
		t.notify()
	}
	for id, s := range t.suspects {
		for from, at := range s.crashes {
			if now.Sub(at) > t.opts.Window {
				delete(s.crashes, from)
			}
		}
		if len(s.crashes) == 0 && !s.inForce(now) && !s.onProbation(now) && now.After(s.clearedUntil) {
			delete(t.suspects, id)
		}
	}
	t.suspectCount.Store(int64(len(t.suspects)))
	if before := t.quarantined.Load(); t.publish(now) < size(before) {
		t.notify()
	}
}

func (s *suspect) inForce(now time.Time) bool { return s.verdict != nil && s.verdict.Until.After(now) }

// onProbation reports whether the latest verdict ended less than its own duration ago.
func (s *suspect) onProbation(now time.Time) bool {
	return s.verdict != nil && !s.inForce(now) && now.Before(s.verdict.Until.Add(s.verdict.Duration))
}

// inForce returns the verdicts in force, in no particular order.
func (t *Tracker) inForce(now time.Time) []Verdict {
	var list []Verdict
	for _, s := range t.suspects {
		if s.inForce(now) {
			list = append(list, *s.verdict)
		}
	}
	return list
}

// publish replaces the map that QuarantinedFor reads by the verdicts in force, and returns
// their number.
func (t *Tracker) publish(now time.Time) int {
	list := t.inForce(now)
	if len(list) == 0 {
		t.quarantined.Store(nil)
		return 0
	}
	quarantined := make(map[Identity]time.Time, len(list))
	for _, v := range list {
		quarantined[v.Identity] = v.Until
	}
	t.quarantined.Store(&quarantined)
	return len(quarantined)
}

func size(quarantined *map[Identity]time.Time) int {
	if quarantined == nil {
		return 0
	}
	return len(*quarantined)
}
