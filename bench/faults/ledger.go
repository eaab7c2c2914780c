package main

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/bench/checker"
	"github.com/crocuscross/crocuscross/internal/standin/caller"
)

// ledger collects what is recorded while the deployment runs. It is safe for
// concurrent use.
type ledger struct {
	mu      sync.Mutex
	records checker.Records
	// lives numbers the processes of each host's daemon from 1.
	lives  map[string]int
	closed bool
	err    error
}

func newLedger() *ledger { return &ledger{lives: map[string]int{}} }

// Write takes the JSON line of one call from a caller.
func (l *ledger) Write(line []byte) (int, error) {
	var c caller.Call
	err := json.Unmarshal(bytes.TrimSpace(line), &c)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		l.err = errors.Wrap(err, "record of a call")
	case l.closed:
		// The trial itself cancels what is under way at its end.
	default:
		l.records.Calls = append(l.records.Calls, c)
	}
	return len(line), nil
}

// close ends the record of calls.
func (l *ledger) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

// update changes the records.
func (l *ledger) update(f func(*checker.Records)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.records)
}

// copy returns the records so far. What they point to is not changed any more.
func (l *ledger) copy() *checker.Records {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records
	r.Absences = slices.Clone(r.Absences)
	r.Leaves = slices.Clone(r.Leaves)
	r.Stops = slices.Clone(r.Stops)
	r.Routes = slices.Clone(r.Routes)
	return &r
}

func (l *ledger) life(host string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lives[host]
}

func (l *ledger) newLife(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lives[host]++
}

// observe notes a daemon's word unless its life has changed meanwhile.
func (l *ledger) observe(o checker.Observation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lives[o.Host] == o.Life {
		l.records.Observations = append(l.records.Observations, o)
	}
}

// away begins an absence; a host that is away already stays so.
func (l *ledger) away(host, why string) {
	now := time.Now()
	l.update(func(r *checker.Records) {
		if openAbsence(r, host, why) == nil {
			r.Absences = append(r.Absences, checker.Absence{Host: host, From: now, Why: why})
		}
	})
}

// back ends the absence of a host for one reason.
func (l *ledger) back(host, why string) {
	now := time.Now()
	l.update(func(r *checker.Records) {
		if a := openAbsence(r, host, why); a != nil {
			a.To = now
		}
	})
}

func openAbsence(r *checker.Records, host, why string) *checker.Absence {
	i := slices.IndexFunc(r.Absences, func(a checker.Absence) bool {
		return a.Host == host && a.Why == why && a.To.IsZero()
	})
	if i < 0 {
		return nil
	}
	return &r.Absences[i]
}

// share returns the number of steady calls that ended since a time, and how many
// of them well.
func (l *ledger) share(since time.Time) (calls, good int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range slices.Backward(l.records.Calls) {
		if c.Start.Before(since.Add(-maxCallTime)) {
			break
		}
		if c.Start.Add(c.Latency).Before(since) || !steady(&c) {
			continue
		}
		calls++
		if c.Verdict == caller.OK {
			good++
		}
	}
	return calls, good
}

// steady tells the calls that every daemon can answer at any time from those
// that need the platform's log or a daemon that a fault has hit.
func steady(c *caller.Call) bool {
	return !strings.HasPrefix(c.Path, pathOwnKeys) && !strings.HasPrefix(c.Path, pathHeldKeys)
}
