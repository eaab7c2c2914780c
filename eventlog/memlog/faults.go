package memlog

import "time"

// faults holds the faults that are currently injected.
type faults struct {
	outage        bool
	delay         time.Duration
	loseResponses int
	loseRequests  int
	held          bool
	// pending holds the effects of the requests received while the service is held, in the order of
	// their arrival.
	pending []func()
}

// SetOutage starts or ends an outage. During an outage all requests fail with
// eventlog.ErrUnavailable, including reads that are already waiting for records.
func (s *Service) SetOutage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.outage = down
	for _, st := range s.streams {
		st.notifyReaders()
	}
}

// SetDelay delays the effect of each request by d. An append whose context ends during the delay
// returns eventlog.ErrUnknown and takes effect nevertheless.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = d
}

// Hold stalls all requests until Release or the returned function is called. Held appends take
// effect then, in the order of their arrival, even if their contexts have ended.
func (s *Service) Hold() (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.held = true
	return s.Release
}

// Release ends a Hold and runs the held requests.
func (s *Service) Release() {
	s.mu.Lock()
	pending := s.faults.pending
	s.faults.pending = nil
	s.faults.held = false
	s.mu.Unlock()
	for _, effect := range pending {
		effect()
	}
}

// Held returns the number of requests that are held.
func (s *Service) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.faults.pending)
}

// LoseResponses makes the next n appends take effect and return eventlog.ErrUnknown.
func (s *Service) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseResponses = n
}

// LoseRequests makes the next n appends return eventlog.ErrUnknown without taking effect. If
// LoseResponses is also set, LoseRequests applies first.
func (s *Service) LoseRequests(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseRequests = n
}

// appendOutcome is the injected outcome of one append.
type appendOutcome uint8

const (
	outcomeAcknowledged appendOutcome = iota
	outcomeResponseLost
	outcomeRequestLost
)

// nextAppendOutcome returns the outcome of the next append and decrements the number of losses that
// remain. The caller holds the lock.
func (f *faults) nextAppendOutcome() appendOutcome {
	switch {
	case f.loseRequests > 0:
		f.loseRequests--
		return outcomeRequestLost
	case f.loseResponses > 0:
		f.loseResponses--
		return outcomeResponseLost
	}
	return outcomeAcknowledged
}
