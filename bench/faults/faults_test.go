package main

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/bench/checker"
	"github.com/crocuscross/crocuscross/bench/trial"
	"github.com/crocuscross/crocuscross/internal/standin/caller"
)

var begin = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// calls are one each 10 ms, answered unless bad says otherwise.
func calls(n int, bad func(i int) bool) []caller.Call {
	list := make([]caller.Call, n)
	for i := range list {
		list[i] = caller.Call{Path: pathSigns, Verdict: caller.OK, Start: begin.Add(time.Duration(i) * 10 * time.Millisecond)}
		if bad(i) {
			list[i].Verdict = caller.Unknown
		}
	}
	return list
}

func TestRecovery(t *testing.T) {
	end := begin.Add(10 * time.Second)
	for name, tc := range map[string]struct {
		bad  func(i int) bool
		want time.Duration
	}{
		"none fails":                {func(int) bool { return false }, 0},
		"one in 100 fails":          {func(i int) bool { return i%100 == 0 }, 0},
		"two in 100 fail":           {func(i int) bool { return i%50 == 0 }, 10 * time.Second},
		"all fail for 2 s":          {func(i int) bool { return i < 200 }, 2750 * time.Millisecond},
		"all fail for a moment 5 s": {func(i int) bool { return i >= 500 && i < 510 }, 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, tc.want, recovery(calls(1000, tc.bad), begin, end, steady))
		})
	}
	own := calls(1000, func(int) bool { return true })
	for i := range own {
		own[i].Path = pathOwnKeys
	}
	must.Eq(t, 0, recovery(own, begin, end, steady))
}

// A call that met a dead daemon does not count, one that met a daemon which was
// cut off does.
func TestMetAbsent(t *testing.T) {
	h := &trial.Host{Name: "a", IP: "127.0.0.1"}
	d := &deployment{Trial: &trial.Trial{Hosts: []*trial.Host{h}}}
	c := &caller.Call{Log: []caller.Try{{Target: h.CallerURL(), Start: begin, End: begin.Add(time.Second)}}}
	for _, tc := range []struct {
		absence checker.Absence
		want    bool
	}{
		{checker.Absence{Host: "a", Why: whyDead, From: begin.Add(time.Millisecond)}, true},
		{checker.Absence{Host: "a", Why: whyPaused, From: begin.Add(-time.Hour), To: begin.Add(time.Millisecond)}, true},
		{checker.Absence{Host: "a", Why: whyPaused, From: begin.Add(2 * time.Second)}, false},
		{checker.Absence{Host: "a", Why: whyDead, From: begin.Add(-time.Hour), To: begin.Add(-time.Minute)}, false},
		{checker.Absence{Host: "b", Why: whyDead, From: begin}, false},
		{checker.Absence{Host: "a", Why: whyCut, From: begin}, false},
	} {
		must.Eq(t, tc.want, d.metAbsent(c, []checker.Absence{tc.absence}), must.Sprint(tc.absence))
	}
}

// A pair can be asked for by the name that the table gives it, and a seed draws
// the same pairs each time.
func TestPairs(t *testing.T) {
	for seed := range uint64(200) {
		pairs := drawPairs(rngOf(seed, "pairs"), 3)
		must.Eq(t, pairs, drawPairs(rngOf(seed, "pairs"), 3))
		for _, name := range pairs {
			found := find(name)
			must.Len(t, 2, found)
			must.NotEq(t, found[0].name, found[1].name)
		}
	}
	must.Nil(t, find("no such fault"))
	must.Nil(t, find("calm + no such fault"))
	for _, name := range proofFaults {
		must.Len(t, 1, find(name))
	}
}
