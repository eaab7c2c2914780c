package explain

import (
	"cmp"
	"io"
	"maps"
	"slices"
	"strings"
)

// Outcome describes how a group of requests ended.
type Outcome struct {
	// Service is the service that the requests were for, empty if none had been chosen.
	Service string `json:"service"`
	// Nested is whether the requests were made by services that were processing other requests.
	Nested bool `json:"nested"`
	// Kind is the kind of the error. It is empty if a backend server responded.
	Kind string `json:"kind,omitempty"`
	// Status is the HTTP status of the backend server's response.
	Status int `json:"status,omitempty"`
	// Error is the error text that the daemon logged.
	Error string `json:"error,omitempty"`
}

// Count is the number of requests with the same Outcome.
type Count struct {
	Outcome
	Requests int `json:"requests"`
}

// Summary counts the requests of logs by outcome. Daemons log only some of the requests that
// succeed, so the counts of those are too low.
type Summary struct{ outcomes map[Outcome]int }

// Add counts the requests of a log.
func (s *Summary) Add(r io.Reader) error {
	if s.outcomes == nil {
		s.outcomes = make(map[Outcome]int)
	}
	isFinalLine := func(text string) bool { return strings.Contains(text, "\"outbound: request ") }
	return scan(r, isFinalLine, func(l Line) {
		if l.isFinal() {
			s.outcomes[Outcome{Service: l.Service, Nested: l.Nested, Kind: l.Kind, Status: l.Status, Error: l.Error}]++
		}
	})
}

// Counts returns the counts sorted by service, and for each service the most frequent outcome first.
func (s *Summary) Counts() []Count {
	var counts []Count
	for _, o := range slices.Collect(maps.Keys(s.outcomes)) {
		counts = append(counts, Count{o, s.outcomes[o]})
	}
	slices.SortFunc(counts, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Error, b.Error))
	})
	return counts
}
