package main

import (
	"slices"
	"time"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/internal/standin/caller"
)

// quantile is one point of a distribution.
type quantile struct {
	name string
	of   func(*caller.VerdictSummary) time.Duration
}

var quantiles = []quantile{
	{"50 in 100", func(v *caller.VerdictSummary) time.Duration { return v.P50 }},
	{"90 in 100", func(v *caller.VerdictSummary) time.Duration { return v.P90 }},
	{"99 in 100", func(v *caller.VerdictSummary) time.Duration { return v.P99 }},
	{"999 in 1000", func(v *caller.VerdictSummary) time.Duration { return v.P999 }},
}

// answered returns the calls of a turn that got their whole answer.
func answered(s *caller.Summary) *caller.VerdictSummary {
	for i := range s.Verdicts {
		if s.Verdicts[i].Verdict == caller.OK {
			return &s.Verdicts[i]
		}
	}
	return &caller.VerdictSummary{}
}

// median returns the median over the turns, which one busy moment of the
// machine does not move.
func median(turns []*caller.Summary, of func(*caller.VerdictSummary) time.Duration) time.Duration {
	values := make([]time.Duration, 0, len(turns))
	for _, s := range turns {
		values = append(values, of(answered(s)))
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// failed counts the calls that did not get their whole answer.
func failed(turns []*caller.Summary) int {
	n := 0
	for _, s := range turns {
		for _, v := range s.Verdicts {
			if v.Verdict != caller.OK {
				n += v.Count
			}
		}
	}
	return n
}

// kinds counts the calls that ended with an error of the closed list.
func kinds(turns []*caller.Summary) map[errkind.Kind]int {
	m := map[errkind.Kind]int{}
	for _, s := range turns {
		for _, k := range s.Kinds {
			m[k.Kind] += k.Count
		}
	}
	return m
}
