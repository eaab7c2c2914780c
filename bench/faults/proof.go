package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/crocuscross/crocuscross/bench/checker"
	"github.com/crocuscross/crocuscross/internal/standin/caller"
)

const (
	proofRate  = 650
	proofPause = 6 * time.Second
	// proofHold caps how long each fault lasts, and proofGap is the calm in
	// between.
	proofHold = 6 * time.Second
	proofGap  = 2 * time.Second
)

// proofFaults kill, pause and cut daemons.
var proofFaults = []string{
	"zone's daemons killed", "paused: gate", "one-way cut: cannot send", "one-way cut: cannot hear",
	"zone's hosts die", "zone cut off", "connections go silent", "reconnect storm",
}

// proof is what many non-idempotent calls showed.
type proof struct {
	Calls    int            `json:"calls"`
	Answered int            `json:"answered"`
	NotRun   int            `json:"not_run"`
	Unknown  int            `json:"unknown"`
	Kinds    map[string]int `json:"kinds"`
	// UnknownShare is Unknown over Calls.
	UnknownShare float64 `json:"unknown_share"`
	Tries        int     `json:"tries"`
	Doubles      int     `json:"doubles"`
	// RanAfterAll are calls told "not run" that ran.
	RanAfterAll int            `json:"ran_after_all"`
	Lost        int            `json:"lost"`
	Faults      map[string]int `json:"faults"`
}

// prove breaks the deployment again and again until enough calls were made.
func (r *runner) prove(ctx context.Context, n int) (*proof, error) {
	if err := r.ready(ctx); err != nil {
		return nil, err
	}
	rng := rngOf(r.d.opts.seed, "proof")
	res := result{Name: "proof", Begin: time.Now()}
	p := &proof{Kinds: map[string]int{}, Faults: map[string]int{}}
	for r.nonIdempotentCalls() < n {
		name := proofFaults[rng.IntN(len(proofFaults))]
		if err := r.sufferBriefly(ctx, name, rng); err != nil {
			return nil, err
		}
		p.Faults[name]++
	}
	res.Mended = time.Now()
	if err := r.settle(ctx); err != nil {
		res.Errors = append(res.Errors, err.Error())
	}
	res.End = time.Now()
	err := r.judge(&res)
	r.results = append(r.results, res)
	return p, err
}

func (r *runner) sufferBriefly(ctx context.Context, name string, rng *rand.Rand) error {
	entries := find(name)
	f := entries[0].make(r.d, rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())))
	f.hold = min(f.hold, proofHold)
	if err := r.suffer(ctx, f); err != nil {
		return err
	}
	return sleep(ctx, proofGap)
}

func (r *runner) nonIdempotentCalls() int {
	n := 0
	for _, c := range r.d.ledger.copy().Calls {
		if c.Method == http.MethodPost {
			n++
		}
	}
	return n
}

// count fills in what the records and the breaches say.
func (p *proof) count(r *checker.Records, results []result) {
	for _, c := range r.Calls {
		if c.Method != http.MethodPost {
			continue
		}
		p.Calls++
		p.Tries += c.Tries
		switch c.Verdict {
		case caller.OK:
			p.Answered++
			continue
		case caller.Refused, caller.NotSent:
			p.NotRun++
		case caller.Unknown, caller.BackendError, caller.Wrong:
			p.Unknown++
		}
		p.Kinds[label(c)]++
	}
	p.UnknownShare = float64(p.Unknown) / float64(max(1, p.Calls))
	for _, res := range results {
		for _, v := range res.Violations {
			switch v.Kind {
			case checker.Double:
				p.Doubles++
			case checker.RanAfterAll:
				p.RanAfterAll++
			case checker.Lost:
				p.Lost++
			}
		}
	}
}

// write prints the proof for people.
func (p *proof) write(w io.Writer) {
	fmt.Fprintf(w, "%d non-idempotent calls in %d tries: %d answered, %d not run, %d unknown (%.2f%%)\n",
		p.Calls, p.Tries, p.Answered, p.NotRun, p.Unknown, 100*p.UnknownShare)
	fmt.Fprintf(w, "doubles %d, told not run and ran %d, answered and never ran %d\n", p.Doubles, p.RanAfterAll, p.Lost)
	fmt.Fprintf(w, "not answered by kind: %s\n", failures(p.Kinds))
	fmt.Fprintf(w, "faults: %s\n", failures(p.Faults))
}
