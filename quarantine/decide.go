package quarantine

import "time"

// sameEnd is within what ends of verdicts on one request count as the same. Daemons decide
// at different moments, by clocks that differ by seconds.
const sameEnd = time.Minute

// crashed counts a crash against a request, and keeps the request away where that is one
// too many.
func (l *Tracker) crashed(id Identity, from source, now time.Time) {
	s := l.suspectOf(id, now)
	if s == nil {
		return
	}
	s.crashes[from] = now
	enough := l.opts.Crashes
	if s.onProbation(now) {
		enough = 1
	}
	if len(s.crashes) < enough || s.inForce(now) {
		return
	}
	if l.good.has(id, now) {
		l.clear(id, "a backend server has just run it to its end")
		return
	}
	l.decide(id, s, now)
}

// decide keeps a request from backend servers.
func (l *Tracker) decide(id Identity, s *suspect, now time.Time) {
	if len(l.inForce(now)) >= l.opts.MaxVerdicts {
		l.opts.Logger.Warn("quarantine: full, a request under which servers ended is let through", "identity", id.String())
		return
	}
	hold := l.opts.Hold
	if s.verdict != nil {
		hold = min(2*s.verdict.Duration, l.opts.MaxHold)
	}
	s.verdict = &Verdict{Identity: id, Until: now.Add(hold), Duration: hold}
	l.opts.Logger.Warn("quarantine: request kept from backend servers", "identity", id.String(),
		"servers_ended", len(s.crashes), "until", s.verdict.Until)
	l.publish(now)
}

// adopt takes in a verdict of others.
func (l *Tracker) adopt(v Verdict, now time.Time) {
	v.Duration = min(max(v.Duration, l.opts.Hold), l.opts.MaxHold)
	if latest := now.Add(v.Duration); v.Until.After(latest) {
		v.Until = latest
	}
	if !v.Until.After(now) || len(l.inForce(now)) >= l.opts.MaxVerdicts {
		return
	}
	s := l.suspectOf(v.Identity, now)
	if s == nil || !v.Until.After(s.clearedUntil) || s.verdict != nil && v.Until.Sub(s.verdict.Until) < sameEnd {
		return
	}
	s.verdict = &v
	l.opts.Logger.Info("quarantine: verdict taken over", "identity", v.Identity.String(), "until", v.Until)
	l.publish(now)
	l.notify()
}

// clear takes back what is held against a request, and tells the others.
func (l *Tracker) clear(id Identity, why string) {
	now := l.opts.Now()
	until := now.Add(l.opts.Hold)
	if v := l.suspects[id].verdict; v != nil && v.Until.After(until) {
		until = v.Until
	}
	l.own.cleared(id, until, now)
	l.forgive(id, until, now)
	l.opts.Logger.Info("quarantine: request cleared", "identity", id.String(), "reason", why)
	l.notify()
}

// forgive forgets the crashes that are known by now and the verdicts that end by until.
func (l *Tracker) forgive(id Identity, until, now time.Time) {
	s := l.suspectOf(id, now)
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

// suspectOf returns the entry of a request, a new one where there is none, or nil where the
// ledger is full of verdicts.
func (l *Tracker) suspectOf(id Identity, now time.Time) *suspect {
	s := l.suspects[id]
	if s == nil {
		if len(l.suspects) >= l.opts.MaxSuspects && !l.dropOldest(now) {
			return nil
		}
		s = &suspect{crashes: make(map[source]time.Time)}
		l.suspects[id] = s
		l.suspected.Store(int64(len(l.suspects)))
	}
	s.touched = now
	return s
}

// dropOldest forgets the suspect of which nothing was learned for longest, and reports
// whether there was one without a verdict in force.
func (l *Tracker) dropOldest(now time.Time) bool {
	var oldest Identity
	var found *suspect
	for id, s := range l.suspects {
		if !s.inForce(now) && (found == nil || s.touched.Before(found.touched)) {
			oldest, found = id, s
		}
	}
	delete(l.suspects, oldest)
	return found != nil
}

// Expire forgets what no longer counts.
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
	l.suspected.Store(int64(len(l.suspects)))
	if before := l.kept.Load(); l.publish(now) < size(before) {
		l.notify()
	}
}

func (s *suspect) inForce(now time.Time) bool { return s.verdict != nil && s.verdict.Until.After(now) }

// onProbation reports whether a verdict has ended not long ago.
func (s *suspect) onProbation(now time.Time) bool {
	return s.verdict != nil && !s.inForce(now) && now.Before(s.verdict.Until.Add(s.verdict.Duration))
}

// inForce returns the verdicts in force.
func (l *Tracker) inForce(now time.Time) []Verdict {
	var list []Verdict
	for _, s := range l.suspects {
		if s.inForce(now) {
			list = append(list, *s.verdict)
		}
	}
	return list
}

// publish has requests refused by the verdicts in force, and returns how many there are.
func (l *Tracker) publish(now time.Time) int {
	list := l.inForce(now)
	if len(list) == 0 {
		l.kept.Store(nil)
		return 0
	}
	kept := make(map[Identity]time.Time, len(list))
	for _, v := range list {
		kept[v.Identity] = v.Until
	}
	l.kept.Store(&kept)
	return len(kept)
}

func size(kept *map[Identity]time.Time) int {
	if kept == nil {
		return 0
	}
	return len(*kept)
}
