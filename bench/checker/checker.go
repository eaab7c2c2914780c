package checker

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Kind is a promise that was broken.
type Kind string

// The kinds.
const (
	// Double is a non-idempotent call that ran twice.
	Double Kind = "double"
	// RanAfterAll is a call that ran though its caller was told that it had not
	// and never would.
	RanAfterAll Kind = "ran_after_all"
	// WrongAnswer is an answer that was not whole or not the call's own.
	WrongAnswer Kind = "wrong_answer"
	// Lost is a call that was answered as done and never ran.
	Lost Kind = "lost"
	// Fell is a daemon that went back to an older version.
	Fell Kind = "fell"
	// Late is an accepted version that was not in force in time.
	Late Kind = "late"
	// Reverted is an accepted change that is no longer in force.
	Reverted Kind = "reverted"
	// HalfApplied is a bundle of which a part took effect, or a rejected one
	// that did.
	HalfApplied Kind = "half_applied"
	// Diverged is two daemons with different configuration at one version.
	Diverged Kind = "diverged"
	// Race is a race of operators that did not have one winner.
	Race Kind = "race"
	// Dangling is a route that led to nothing.
	Dangling Kind = "dangling_route"
	// Misrouted is a call that ran at a service which its route never named.
	Misrouted Kind = "misrouted"
	// NewWork is work for a backend server that had left.
	NewWork Kind = "new_work"
	// CutOff is a request that a planned stop cut off or failed.
	CutOff Kind = "cut_off"
)

// Kinds lists all of them.
var Kinds = []Kind{
	Double, RanAfterAll, WrongAnswer, Lost, Fell, Late, Reverted, HalfApplied, Diverged, Race,
	Dangling, Misrouted, NewWork, CutOff,
}

// Bounds of the promises.
const (
	// InForceBound is how long an accepted version may take to be in force on a
	// daemon that runs and can be reached.
	InForceBound = 4 * time.Second
	// LeaveBound is how long a leaving backend server may get new work.
	LeaveBound = 2 * time.Second
)

// Violation is one breach of one promise.
type Violation struct {
	Kind Kind
	// At is when it showed.
	At time.Time
	// Subject is what it happened to: a request, a host, a publish.
	Subject string
	Detail  string
}

// String returns one line for people.
func (v Violation) String() string {
	return fmt.Sprintf("%s %s: %s: %s", v.At.Format("15:04:05.000"), v.Kind, v.Subject, v.Detail)
}

// Check returns the breaches in the order of time, at most one of a kind for
// each subject.
func Check(r *Records) []Violation {
	c := &check{Records: r, seen: map[breach]bool{}}
	c.index()
	c.calls()
	c.versions()
	c.configuration()
	c.stops()
	slices.SortStableFunc(c.found, func(a, b Violation) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject))
	})
	return c.found
}

// breach tells violations apart.
type breach struct {
	kind    Kind
	subject string
}

// check is one pass over the records.
type check struct {
	*Records
	runs  runs
	seen  map[breach]bool
	found []Violation
}

func (c *check) report(k Kind, at time.Time, subject, format string, args ...any) {
	b := breach{k, subject}
	if c.seen[b] {
		return
	}
	c.seen[b] = true
	c.found = append(c.found, Violation{Kind: k, At: at, Subject: subject, Detail: fmt.Sprintf(format, args...)})
}
