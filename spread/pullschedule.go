package spread

import (
	"context"
	"time"
)

// pullLoop pulls while this daemon is behind, and reads the log as a fallback if no other daemon is
// in contact or pulls fail.
func (s *Spreader) pullLoop() error {
	scheduler := s.newPullScheduler()
	for s.ctx.Err() == nil {
		scheduler.schedulePull()
		timer := time.NewTimer(time.Until(scheduler.next()))
		select {
		case <-s.ctx.Done():
		case <-s.pullWake:
		case <-timer.C:
			scheduler.runDue()
		}
		timer.Stop()
	}
	return nil
}

// pullScheduler decides when a daemon pulls and when it reads the log as a fallback.
type pullScheduler struct {
	s *Spreader
	// pullAt is when the next pull is due, zero while the daemon is not behind.
	pullAt time.Time
	// maxSilence is the time without contact after which the log is read.
	maxSilence time.Duration
	// nextFallbackRead is the earliest time of the next fallback read.
	nextFallbackRead time.Time
	failures         int
}

func (s *Spreader) newPullScheduler() *pullScheduler {
	return &pullScheduler{s: s, maxSilence: s.ownReadAfter()}
}

// schedulePull sets the time of the next pull, or clears it if the daemon is not behind.
func (p *pullScheduler) schedulePull() {
	switch {
	case !p.s.behind():
		p.pullAt, p.failures = time.Time{}, 0
	case p.pullAt.IsZero():
		p.pullAt = time.Now().Add(p.s.jitter(p.s.opts.PullDelay))
	}
}

// next returns when the next pull or fallback read is due.
func (p *pullScheduler) next() time.Time {
	read := p.fallbackReadAt()
	if !p.pullAt.IsZero() && p.pullAt.Before(read) {
		return p.pullAt
	}
	return read
}

// fallbackReadAt returns when a fallback read is due unless another daemon makes contact before.
func (p *pullScheduler) fallbackReadAt() time.Time {
	p.s.mu.Lock()
	at := p.s.lastContact.Add(p.maxSilence)
	p.s.mu.Unlock()
	if p.nextFallbackRead.After(at) {
		return p.nextFallbackRead
	}
	return at
}

// runDue pulls or reads, whichever is due.
func (p *pullScheduler) runDue() {
	now := time.Now()
	switch {
	case !p.pullAt.IsZero() && !now.Before(p.pullAt):
		p.pull()
	case !now.Before(p.fallbackReadAt()):
		p.fallbackRead()
	}
}

// pull pulls from a daemon that is ahead. After pullsBeforeRead failures, or one that was not
// answered, it also reads the log.
func (p *pullScheduler) pull() {
	s := p.s
	before := s.history.offset()
	p.readIfPullsFail()
	if c, ok := s.takePullCandidate(); ok && !pullAnswered(p.pullFrom(c)) {
		// Other daemons may not be reachable either.
		p.failures = max(p.failures, pullsBeforeRead)
	}
	if s.history.offset() == before {
		p.readIfPullsFail()
	}
	if s.history.offset() > before {
		p.failures = 0
		p.pullAt = time.Time{}
		return
	}
	p.failures++
	p.pullAt = time.Now().Add(s.backoff(p.failures))
	if p.failures >= pullsBeforeRead && time.Now().Before(p.nextFallbackRead) {
		// Another pull could take longer than the time until the log may be read.
		p.pullAt = p.nextFallbackRead
	}
}

// pullFrom pulls from a candidate and returns the error with which that ended. If it takes longer than
// pullPatience, it also reads the log: the time until a daemon knows that it is behind and the time of
// a vain pull would otherwise add up.
func (p *pullScheduler) pullFrom(c pullCandidate) error {
	s := p.s
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- s.pullUntil(ctx, c.addr, c.offset) }()
	timer := time.NewTimer(pullPatience)
	defer timer.Stop()
	select {
	case err := <-ended:
		return err
	case <-timer.C:
	}
	if !time.Now().Before(p.nextFallbackRead) {
		p.fallbackRead()
	}
	if s.history.offset() >= c.offset {
		cancel()
	}
	return <-ended
}

// readIfPullsFail reads the log if pulls fail and the last fallback read is long enough ago.
func (p *pullScheduler) readIfPullsFail() {
	if p.failures >= pullsBeforeRead && !time.Now().Before(p.nextFallbackRead) {
		p.fallbackRead()
	}
}

// fallbackRead reads the log until it has no more records. Readers skip this because they read the
// log continuously.
func (p *pullScheduler) fallbackRead() {
	s := p.s
	p.maxSilence = s.ownReadAfter()
	p.nextFallbackRead = time.Now().Add(p.maxSilence)
	if s.readsLog() || s.State() == nil {
		return
	}
	if err := s.readToEnd(); err != nil {
		s.opts.Logger.Debug("spread: fallback read failed", "error", err)
	}
}

// readToEnd reads the log until it has no more records, or a read fails.
func (s *Spreader) readToEnd() error {
	for {
		if n, err := s.readOnce(0, fallbackReadSlack); err != nil || n < readLimit {
			return err
		}
	}
}

// ownReadAfter draws how long this daemon receives no offset from others before it reads the log. It
// varies little around the setting, which is chosen for how soon a version must be in force.
func (s *Spreader) ownReadAfter() time.Duration {
	return s.opts.OwnReadAfter*3/4 + s.jitter(s.opts.OwnReadAfter/2)
}
