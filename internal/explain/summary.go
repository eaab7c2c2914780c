package explain

import (
	"cmp"
	"io"
	"maps"
	"slices"
	"strings"
)

// End is one way in which requests ended.
type End struct {
	// Service that the requests were for, empty where none was chosen.
	Service string `json:"service"`
	// Nested is whether services made the requests for others that they worked on.
	Nested bool `json:"nested"`
	// Kind of the error, empty for a backend server's answer; Status of that.
	Kind   string `json:"kind,omitempty"`
	Status int    `json:"status,omitempty"`
	// Error is the reason that the daemon gave.
	Error string `json:"error,omitempty"`
}

// Count is how often requests ended so.
type Count struct {
	End
	Requests int `json:"requests"`
}

// Summary counts how the requests of logs ended. Requests that were answered well are in
// the logs only in part, which the counts of those do not tell.
type Summary struct{ ends map[End]int }

// Add takes in a log.
func (s *Summary) Add(r io.Reader) error {
	if s.ends == nil {
		s.ends = make(map[End]int)
	}
	isEnd := func(text string) bool { return strings.Contains(text, "\"outbound: request ") }
	return scan(r, isEnd, func(l Line) {
		if l.ended() {
			s.ends[End{Service: l.Service, Nested: l.Nested, Kind: l.Kind, Status: l.Status, Error: l.Error}]++
		}
	})
}

// Counts returns the ways by service, the most frequent first.
func (s *Summary) Counts() []Count {
	var counts []Count
	for _, e := range slices.Collect(maps.Keys(s.ends)) {
		counts = append(counts, Count{e, s.ends[e]})
	}
	slices.SortFunc(counts, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Error, b.Error))
	})
	return counts
}
