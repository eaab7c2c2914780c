package platformbackend

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/crocuscross/crocuscross/internal/standin/serve"
)

// Paths by which a test controls the server. Routes of a configuration must not cover them.
const (
	// PathNotice takes a Notice by PUT.
	PathNotice = "/standin/notice"
	// PathArrivals answers a GET with a list of Arrival.
	PathArrivals = "/standin/arrivals"
)

// Notice is what the server states about itself in its responses.
type Notice struct {
	// Limited is whether it states a limit, and RateLimit that limit in requests per second.
	Limited   bool    `json:"limited"`
	RateLimit float64 `json:"rate_limit"`
	Leaving   bool    `json:"leaving"`
}

// Arrival is a request that reached the server.
type Arrival struct {
	RequestID string    `json:"request_id"`
	At        time.Time `json:"at"`
}

func (s *server) setNotice(w http.ResponseWriter, r *http.Request) {
	var n Notice
	if err := json.NewDecoder(r.Body).Decode(&n); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notice = n
}

func (s *server) listArrivals(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, s.arrivals)
}

func (s *server) recordArrival(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, Arrival{RequestID: id, At: time.Now()})
}

func (s *server) writeNotice(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.notice.Limited {
		h.Set(s.Dialect.RateLimit, strconv.FormatFloat(s.notice.RateLimit, 'f', -1, 64))
	}
	if s.notice.Leaving {
		h.Set(s.Dialect.Leaving, "1")
	}
}
