package backendserver

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/crocuscross/crocuscross/internal/standin/serve"
)

const (
	pathHealth = "/health"
	pathLoad   = "/load"
	pathAdmin  = "/admin/"
)

// Load is the answer of the load endpoint, true or not.
type Load struct {
	InUse int `json:"in_use"`
	Slots int `json:"slots"`
}

// Stats is the answer to every admin command, and always true.
type Stats struct {
	InUse  int   `json:"in_use"`
	Queued int64 `json:"queued"`
	// PeakQueued is above 0 if ever more requests came at once than there are
	// slots.
	PeakQueued  int64  `json:"peak_queued"`
	Executions  uint64 `json:"executions"`
	Shed        uint64 `json:"shed"`
	BadRequests uint64 `json:"bad_requests"`
}

// routeAdmin lets people and scripts misuse the server with curl alone, so the
// arguments are in the query:
//
//	GET  /admin/executions?since=0                        the record
//	GET  /admin/stats
//	POST /admin/shed?share=0.5                            503 for a share
//	POST /admin/cold?for=10s&factor=10                    start cold again
//	POST /admin/stall?on=true                             executions hang
//	POST /admin/service-time?mean=5ms&distribution=fixed  or exponential
//	POST /admin/claim-health?claim=ok                     or failing, truth
//	POST /admin/claim-load?in_use=0                       -1 for the truth
//	POST /admin/drain?on=true                             announce draining
//	POST /admin/leave?on=true                             withdraw, go on serving
//	POST /admin/die                                       end at once, without a word
func (s *Server) routeAdmin() {
	s.router.GET(pathHealth, s.health)
	s.router.GET(pathLoad, s.load)
	s.router.GET(pathAdmin+"executions", s.executions)
	s.router.GET(pathAdmin+"stats", s.command(func(url.Values) error { return nil }))
	s.router.POST(pathAdmin+"shed", s.command(s.shed))
	s.router.POST(pathAdmin+"cold", s.command(s.cold))
	s.router.POST(pathAdmin+"stall", s.command(toggle(s.behavior.setStalled)))
	s.router.POST(pathAdmin+"service-time", s.command(s.serviceTime))
	s.router.POST(pathAdmin+"claim-health", s.command(s.claimHealth))
	s.router.POST(pathAdmin+"claim-load", s.command(s.claimLoad))
	s.router.POST(pathAdmin+"drain", s.command(toggle(s.announce.setDraining)))
	s.router.POST(pathAdmin+"leave", s.command(toggle(s.announce.setLeft)))
	s.router.POST(pathAdmin+"die", s.command(s.die))
}

// command runs f and answers with the stats, or with 400 and its error.
func (s *Server) command(f func(url.Values) error) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		if err := f(r.URL.Query()); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return nil
		}
		return serve.WriteJSON(w, http.StatusOK, s.Stats())
	}
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	return Stats{
		InUse:       s.slots.inUse(),
		Queued:      s.slots.queued.Load(),
		PeakQueued:  s.slots.peakQueued.Load(),
		Executions:  s.rec.count(),
		Shed:        s.counts.shed.Load(),
		BadRequests: s.counts.badRequests.Load(),
	}
}

// Executions returns the record after a number.
func (s *Server) Executions(since uint64) Executions { return s.rec.since(since) }

func (s *Server) health(w http.ResponseWriter, _ bunrouter.Request) error {
	if !s.behavior.healthy() {
		http.Error(w, "failing", http.StatusServiceUnavailable)
		return nil
	}
	_, err := w.Write([]byte("ok\n"))
	return err
}

func (s *Server) load(w http.ResponseWriter, _ bunrouter.Request) error {
	l := Load{InUse: s.behavior.claimedLoad(s.slots.inUse()), Slots: s.opts.Slots}
	return serve.WriteJSON(w, http.StatusOK, l)
}

func (s *Server) executions(w http.ResponseWriter, r bunrouter.Request) error {
	since := uint64(0)
	if v := r.URL.Query().Get("since"); v != "" {
		n, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return nil
		}
		since = n
	}
	return serve.WriteJSON(w, http.StatusOK, s.Executions(since))
}

func (s *Server) shed(q url.Values) error {
	share, err := strconv.ParseFloat(q.Get("share"), 64)
	if err != nil {
		return err
	}
	return s.behavior.setShed(share)
}

func (s *Server) cold(q url.Values) error {
	d, err := time.ParseDuration(q.Get("for"))
	if err != nil {
		return err
	}
	factor, err := strconv.ParseFloat(q.Get("factor"), 64)
	if err == nil {
		s.behavior.setCold(Cold{For: d, Factor: factor})
	}
	return err
}

func (s *Server) serviceTime(q url.Values) error {
	mean, err := time.ParseDuration(q.Get("mean"))
	if err != nil {
		return err
	}
	return s.behavior.setService(ServiceTime{Mean: mean, Distribution: Distribution(q.Get("distribution"))})
}

func (s *Server) claimHealth(q url.Values) error {
	return s.behavior.setHealth(Claim(q.Get("claim")))
}

func (s *Server) claimLoad(q url.Values) error {
	n, err := strconv.Atoi(q.Get("in_use"))
	if err == nil {
		s.behavior.setLoad(n)
	}
	return err
}

func (s *Server) die(url.Values) error {
	s.opts.Die()
	return nil
}

// toggle is the command that switches something on and off.
func toggle(set func(bool)) func(url.Values) error {
	return func(q url.Values) error {
		on, err := strconv.ParseBool(q.Get("on"))
		if err == nil {
			set(on)
		}
		return err
	}
}
