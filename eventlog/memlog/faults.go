package memlog

import "time"

// faults is how the service misbehaves at present.
type faults struct {
	outage       bool
	delay        time.Duration
	loseAnswers  int
	loseRequests int
	held         bool
	// waiting are the effects of the requests that came while held, in order.
	waiting []func()
}

// SetOutage starts or ends an outage: all requests fail with
// eventlog.ErrUnavailable, reads that wait for records included.
func (s *Service) SetOutage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.outage = down
	for _, st := range s.streams {
		st.wake()
	}
}

// SetDelay makes each request take d before its effect. An append whose caller
// gives up earlier returns eventlog.ErrUnknown and takes effect all the same.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = d
}

// Hold stalls all requests until they are released. Appends take effect then,
// in the order of their arrival, even if their callers have given up.
func (s *Service) Hold() (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.held = true
	return s.Release
}

// Release ends a Hold.
func (s *Service) Release() {
	s.mu.Lock()
	waiting := s.faults.waiting
	s.faults.waiting = nil
	s.faults.held = false
	s.mu.Unlock()
	for _, effect := range waiting {
		effect()
	}
}

// Held returns the number of requests that wait for the release.
func (s *Service) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.faults.waiting)
}

// LoseResponses makes the next n appends take effect and return
// eventlog.ErrUnknown.
func (s *Service) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseAnswers = n
}

// LoseRequests makes the next n appends return eventlog.ErrUnknown without any
// effect. It comes before LoseAnswers where both are set.
func (s *Service) LoseRequests(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseRequests = n
}

// fate is what becomes of one append.
type fate uint8

const (
	fateAnswered fate = iota
	fateAnswerLost
	fateRequestLost
)

// nextFate uses up one of the losses ordered. The lock is held.
func (f *faults) nextFate() fate {
	switch {
	case f.loseRequests > 0:
		f.loseRequests--
		return fateRequestLost
	case f.loseAnswers > 0:
		f.loseAnswers--
		return fateAnswerLost
	}
	return fateAnswered
}
