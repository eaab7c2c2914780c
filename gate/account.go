package gate

import (
	"iter"
	"time"
)

const (
	// maxAccounts is the number of accounts with a name at which the idle ones are forgotten before
	// another is added. Accounts with calls are bounded by the slots and MaxQueue.
	maxAccounts = 1024
	// accountIdleTime is the time after its last call from which an account is forgotten. Its use of
	// slots has decayed to a thousandth by then.
	accountIdleTime = 10 * time.Second
	// excessFactor is the multiple of an account's part of a share's slots by weight from which on the
	// account exceeds its part. The use of slots is measured over two seconds, in which that of an account
	// with a few calls per second varies by a third.
	excessFactor = 1.5
	// minAccountUsage is the mean number of slots from which on an account counts as one that uses
	// the share.
	minAccountUsage = 0.001
)

// account holds the waiting calls of one account in a share. The slot time of a share is shared
// between its accounts by start-time fair queueing, as that of the gate is between shares, but in
// proportion to their weights.
type account struct {
	share *share
	name  string
	// weight is the latest one that a call stated, 0 if it is not known.
	weight float64
	// tag is the slot time consumed divided by relativeWeight, on the scale of share.virtualTime.
	tag time.Duration
	// waiting is sorted by Ticket.due.
	waiting  []*Ticket
	running  int
	lastSeen time.Time
	// usedTime and usage have the same meaning as in share.
	usedTime time.Duration
	usage    float64
	// exceeds is whether the account uses clearly more than its part of the share's slots by weight.
	exceeds bool
}

// account returns the account with the name in the share and creates it if it does not exist. The
// weight replaces the one that the account had.
func (q *fairQueue) account(s *share, name string, weight float64, now time.Time) *account {
	if !q.accountShares || name == "" {
		return &s.unnamed
	}
	a, ok := s.accounts[name]
	if !ok {
		if q.accounts >= maxAccounts {
			q.forgetAccounts(now.Add(accountIdleTime))
		}
		if s.accounts == nil {
			s.accounts = make(map[string]*account)
		}
		a = &account{share: s, name: name}
		s.accounts[name] = a
		q.accounts++
	}
	a.lastSeen = now
	q.setWeight(a, weight)
	return a
}

// forgetAccounts removes the accounts without calls for accountIdleTime. A forgotten account loses
// at most maxDebt of consumed slot time.
func (q *fairQueue) forgetAccounts(now time.Time) {
	if q.accounts == 0 {
		return
	}
	for _, s := range q.shares {
		for name, a := range s.accounts {
			if a.running == 0 && len(a.waiting) == 0 && now.Sub(a.lastSeen) >= accountIdleTime {
				delete(s.accounts, name)
				q.accounts--
			}
		}
	}
	q.countWeights()
}

// updateAccountUsage updates the mean number of slots that each account of the share uses, and
// whether that exceeds its part of the share's slots by weight. No account exceeds its part if no call
// had to wait since the last update.
func (s *share) updateAccountUsage(elapsed time.Duration) {
	if s.accounts == nil {
		s.unnamed.usedTime = 0
		return
	}
	users := 0.0
	for a := range s.allAccounts() {
		a.updateUsage(elapsed)
		if a.usage >= minAccountUsage {
			users += a.relativeWeight()
		}
	}
	for a := range s.allAccounts() {
		part := s.usage
		if users > 0 {
			part *= min(a.relativeWeight()/users, 1)
		}
		a.exceeds = s.contended && a.usage > excessFactor*part
	}
	s.contended = s.queued > 0
}

// allAccounts iterates over the accounts of the share, including the unnamed one.
func (s *share) allAccounts() iter.Seq[*account] {
	return func(yield func(*account) bool) {
		if !yield(&s.unnamed) {
			return
		}
		for _, a := range s.accounts {
			if !yield(a) {
				return
			}
		}
	}
}

// updateUsage updates the mean number of slots that the account uses.
func (a *account) updateUsage(elapsed time.Duration) {
	a.usage += (float64(a.usedTime)/float64(elapsed) - a.usage) / 2
	a.usedTime = 0
}

// charge accounts for the start of a call with the expected slot time.
func (a *account) charge(expected time.Duration) {
	s := a.share
	s.virtualTime = max(a.tag, s.virtualTime)
	a.tag = s.virtualTime + a.weighted(expected)
	a.running++
}

// settle replaces the expected slot time of a call that ended by the measured one.
func (a *account) settle(expected, held time.Duration) {
	a.running--
	a.tag = min(a.tag+a.weighted(held-expected), max(a.tag, a.share.virtualTime+maxDebt))
	a.usedTime += held
}

// before reports whether the calls of a are served before those of o. Both have waiting calls. An
// account that exceeds its part of the slots comes last. Tags alone would not suffice: an account
// without a waiting call loses its turn, and an account that always has some takes it.
func (a *account) before(o *account) bool {
	if a.exceeds != o.exceeds {
		return o.exceeds
	}
	if a.tag != o.tag {
		return a.tag < o.tag
	}
	return a.waiting[0].due.Before(o.waiting[0].due)
}

// next returns the waiting call of the share that starts next.
func (s *share) next() *Ticket {
	first := s.active[0]
	for _, a := range s.active[1:] {
		if a.before(first) {
			first = a
		}
	}
	return first.waiting[0]
}

// aheadOf returns the number of the waiting calls of the share's other accounts that go before a
// call of a with the given start tag.
func (s *share) aheadOf(a *account, tag time.Duration) int {
	calls := 0
	for _, o := range s.active {
		switch {
		case o == a || o.exceeds && !a.exceeds:
		case a.exceeds && !o.exceeds:
			calls += len(o.waiting)
		case o.tag <= tag:
			calls += int(min(1+(tag-o.tag)/max(o.weighted(s.serviceTime.value), 1), time.Duration(len(o.waiting))))
		}
	}
	return calls
}

// accountForecast returns the forecast for the queue of an account from that for its share. Like
// the latter, it interpolates linearly between the first and the last call of the account.
func (g *Gate) accountForecast(a *account, f forecast) forecast {
	s, n := a.share, len(a.waiting)
	if !g.opts.AccountShares {
		return f
	}
	start := max(a.tag, s.virtualTime)
	first := s.aheadOf(a, start)
	last := s.aheadOf(a, start+time.Duration(n)*a.weighted(s.serviceTime.value))
	result := forecast{base: f.wait(first), step: f.step}
	if n > 0 {
		result.step += f.step * time.Duration(last-first) / time.Duration(n)
	}
	result.step = max(result.step, time.Duration(float64(s.serviceTime.value)/g.slotsLeftForAccount(a)))
	return result
}

// slotsLeftForAccount returns the number of slots that the account can expect to use beside the
// mean use of the share's other accounts, whose future calls may go first as well. It is at least
// its part of the share's slots by weight.
func (g *Gate) slotsLeftForAccount(a *account) float64 {
	s := a.share
	slots := g.slotsLeftFor(s)
	weight := a.relativeWeight()
	active := 0.0
	for _, o := range s.active {
		active += o.relativeWeight()
	}
	if len(a.waiting) == 0 {
		active += weight
	}
	return max(slots-max(s.usage-a.usage, 0), slots*weight/active)
}

// newcomerWait returns the expected wait of a call of the share that is queued last or, if slots
// are shared between accounts, that is the only call of its account.
func (g *Gate) newcomerWait(s *share, now time.Time) time.Duration {
	f := g.forecast(s, now)
	if !g.opts.AccountShares {
		return f.wait(s.queued)
	}
	return g.accountForecast(&account{share: s}, f).wait(0)
}

// waitingAccounts returns the number of accounts with waiting calls.
func (q *fairQueue) waitingAccounts() int {
	accounts := 0
	for _, s := range q.active {
		accounts += len(s.active)
	}
	return accounts
}
