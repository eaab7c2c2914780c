package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/crocuscross/crocuscross/bench/checker"
	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/internal/standin/caller"
)

// Recovery is looked for in windows of this length, one beginning each step.
const (
	recoveryWindow = time.Second
	recoveryStep   = 250 * time.Millisecond
)

// result is the row of one fault.
type result struct {
	Name string `json:"fault"`
	// Begin of the fault, Mended its end, End when everything was well again.
	Begin  time.Time `json:"begin"`
	Mended time.Time `json:"mended"`
	End    time.Time `json:"end"`
	// Requests are the calls that began in between.
	Requests int `json:"requests"`
	// Failed counts the calls that were not answered, by error kind or, where
	// there is none, by verdict.
	Failed     map[string]int `json:"failed"`
	Unknown    int            `json:"unknown"`
	Doubles    int            `json:"doubles"`
	Lost       int            `json:"lost"`
	Reversions int            `json:"reversions"`
	// Recovery is the time from Begin to the end of the last second in which
	// fewer than goodShare of the steady calls were answered; 0 if there was
	// none. Calls sent to a daemon that was dead or paused do not count: no
	// other daemon can answer in its place.
	Recovery   time.Duration       `json:"recovery_ns"`
	Recovered  bool                `json:"recovered"`
	Violations []checker.Violation `json:"violations"`
	Errors     []string            `json:"errors"`
}

// count fills in what the records say of the fault's time.
func (res *result) count(d *deployment, r *checker.Records) {
	res.Failed = map[string]int{}
	var calls []caller.Call
	for _, c := range r.Calls {
		if c.Start.Before(res.Begin) || c.Start.After(res.End) {
			continue
		}
		calls = append(calls, c)
		res.Requests++
		if c.Verdict == caller.Unknown {
			res.Unknown++
		}
		if c.Verdict != caller.OK {
			res.Failed[label(c)]++
		}
	}
	for _, v := range res.Violations {
		switch v.Kind {
		case checker.Double:
			res.Doubles++
		case checker.Lost:
			res.Lost++
		case checker.Fell, checker.Reverted:
			res.Reversions++
		}
	}
	counts := func(c *caller.Call) bool { return steady(c) && !d.metAbsent(c, r.Absences) }
	res.Recovery = recovery(calls, res.Begin, res.End, counts)
}

// label names the way in which a call failed.
func label(c caller.Call) string {
	if c.Kind != errkind.None {
		return string(c.Kind)
	}
	return string(c.Verdict)
}

// recovery returns how long after begin the last window with too few answers
// ended. Calls count in the windows in which they began.
func recovery(calls []caller.Call, begin, end time.Time, counts func(*caller.Call) bool) time.Duration {
	n := int(end.Sub(begin) / recoveryStep)
	all, good := make([]int, n+1), make([]int, n+1)
	for i := range calls {
		c := &calls[i]
		step := int(c.Start.Sub(begin) / recoveryStep)
		if step < 0 || step > n || !counts(c) {
			continue
		}
		all[step]++
		if c.Verdict == caller.OK {
			good[step]++
		}
	}
	perWindow := int(recoveryWindow / recoveryStep)
	for from := n - perWindow; from >= 0; from-- {
		a, g := sum(all[from:from+perWindow]), sum(good[from:from+perWindow])
		if float64(g) < goodShare*float64(a) {
			return time.Duration(from+perWindow) * recoveryStep
		}
	}
	return 0
}

func sum(list []int) int {
	n := 0
	for _, v := range list {
		n += v
	}
	return n
}

// writeTable prints the results for people.
func writeTable(w io.Writer, results []result) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "fault\trequests\tfailed by kind\tunknown\tdoubles\tlost\treversions\trecovery\tverdict")
	for _, r := range results {
		fmt.Fprintf(tw, "%s\t%d\t%s\t%d\t%d\t%d\t%d\t%s\t%s\n", r.Name, r.Requests, failures(r.Failed),
			r.Unknown, r.Doubles, r.Lost, r.Reversions, r.Recovery.Round(10*time.Millisecond), r.verdict())
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, r := range results {
		for _, v := range r.Violations {
			fmt.Fprintf(w, "%s: %s\n", r.Name, v)
		}
		for _, e := range r.Errors {
			fmt.Fprintf(w, "%s: %s\n", r.Name, e)
		}
	}
	return nil
}

func (res *result) verdict() string {
	switch {
	case len(res.Violations) > 0:
		return fmt.Sprintf("%d BROKEN", len(res.Violations))
	case len(res.Errors) > 0:
		return "FAILED"
	}
	return "kept"
}

func failures(failed map[string]int) string {
	if len(failed) == 0 {
		return "-"
	}
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(failed)) {
		parts = append(parts, fmt.Sprintf("%s %d", k, failed[k]))
	}
	return strings.Join(parts, ", ")
}

// report is the whole run for programs.
type report struct {
	Seed    uint64   `json:"seed"`
	Hosts   int      `json:"hosts"`
	Results []result `json:"results"`
	Proof   *proof   `json:"proof,omitempty"`
}

func writeJSON(w io.Writer, r report) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}
