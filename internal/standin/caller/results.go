package caller

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/errkind"
)

// Range and precision of the latencies.
const (
	minLatency         = time.Microsecond
	maxLatency         = 10 * time.Minute
	significantFigures = 3
)

// results collects the calls of one run.
type results struct {
	mu       sync.Mutex
	lines    *json.Encoder
	lineErr  error
	verdicts map[Verdict]*hdrhistogram.Histogram
	kinds    map[errkind.Kind]int
	tries    int
	dropped  int
}

func newResults(record io.Writer) *results {
	r := &results{verdicts: map[Verdict]*hdrhistogram.Histogram{}, kinds: map[errkind.Kind]int{}}
	if record != nil {
		r.lines = json.NewEncoder(record)
	}
	return r
}

func (r *results) drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropped++
}

func (r *results) add(c *Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.verdicts[c.Verdict]
	if !ok {
		h = hdrhistogram.New(int64(minLatency), int64(maxLatency), significantFigures)
		r.verdicts[c.Verdict] = h
	}
	_ = h.RecordValue(int64(min(max(c.Latency, minLatency), maxLatency)))
	r.tries += c.Tries
	if c.Kind != errkind.None {
		r.kinds[c.Kind]++
	}
	if r.lines != nil && r.lineErr == nil {
		r.lineErr = r.lines.Encode(c)
	}
}

// VerdictSummary is the calls of one verdict.
type VerdictSummary struct {
	Verdict Verdict       `json:"verdict"`
	Count   int           `json:"count"`
	P50     time.Duration `json:"p50_ns"`
	P90     time.Duration `json:"p90_ns"`
	P99     time.Duration `json:"p99_ns"`
	P999    time.Duration `json:"p999_ns"`
	Max     time.Duration `json:"max_ns"`
}

// KindSummary is the calls whose last try ended with an error kind.
type KindSummary struct {
	Kind  errkind.Kind `json:"kind"`
	Count int          `json:"count"`
}

// Summary is what became of the calls of a run.
type Summary struct {
	Calls int `json:"calls"`
	// Tries is above Calls by the repeats.
	Tries int `json:"tries"`
	// Dropped calls of an open loop were not sent, since as many as may be were
	// in flight.
	Dropped  int              `json:"dropped"`
	Elapsed  time.Duration    `json:"elapsed_ns"`
	Verdicts []VerdictSummary `json:"verdicts"`
	Kinds    []KindSummary    `json:"kinds"`
}

func (r *results) summary(elapsed time.Duration) (*Summary, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &Summary{Tries: r.tries, Dropped: r.dropped, Elapsed: elapsed}
	for v, h := range r.verdicts {
		s.Calls += int(h.TotalCount())
		s.Verdicts = append(s.Verdicts, verdictSummary(v, h))
	}
	for k, n := range r.kinds {
		s.Kinds = append(s.Kinds, KindSummary{Kind: k, Count: n})
	}
	slices.SortFunc(s.Verdicts, func(a, b VerdictSummary) int { return cmp.Compare(a.Verdict, b.Verdict) })
	slices.SortFunc(s.Kinds, func(a, b KindSummary) int { return cmp.Compare(a.Kind, b.Kind) })
	return s, errors.Wrap(r.lineErr, "record calls")
}

func verdictSummary(v Verdict, h *hdrhistogram.Histogram) VerdictSummary {
	at := func(percent float64) time.Duration { return time.Duration(h.ValueAtQuantile(percent)) }
	return VerdictSummary{
		Verdict: v,
		Count:   int(h.TotalCount()),
		P50:     at(50),
		P90:     at(90),
		P99:     at(99),
		P999:    at(99.9),
		Max:     time.Duration(h.Max()),
	}
}

// Count returns the number of calls with a verdict.
func (s *Summary) Count(v Verdict) int {
	for _, vs := range s.Verdicts {
		if vs.Verdict == v {
			return vs.Count
		}
	}
	return 0
}

// WriteTable prints the summary for people.
func (s *Summary) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "%d calls in %s, %d tries, %d dropped\n\n", s.Calls, s.Elapsed.Round(time.Millisecond), s.Tries, s.Dropped)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "verdict\tcount\tp50\tp90\tp99\tp99.9\tmax\t")
	for _, v := range s.Verdicts {
		fmt.Fprintf(tw, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t\n", v.Verdict, v.Count,
			short(v.P50), short(v.P90), short(v.P99), short(v.P999), short(v.Max))
	}
	if len(s.Kinds) > 0 {
		fmt.Fprintln(tw, "\t\t\t\t\t\t\t")
		fmt.Fprintln(tw, "error kind\tcount\t\t\t\t\t\t")
	}
	for _, k := range s.Kinds {
		fmt.Fprintf(tw, "%s\t%d\t\t\t\t\t\t\n", k.Kind, k.Count)
	}
	return tw.Flush()
}

// WriteJSON prints the summary for programs.
func (s *Summary) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(s)
}

func short(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }
