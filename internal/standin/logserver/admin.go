package logserver

import (
	"net/http"
	"strconv"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/crocuscross/crocuscross/eventlog/memlog"
	"github.com/crocuscross/crocuscross/internal/standin/serve"
)

// Counters is the JSON body of every admin answer. The bytes on the wire
// include those of the admin API itself.
type Counters struct {
	memlog.Counters
	WireBytesIn  uint64 `json:"wire_bytes_in"`
	WireBytesOut uint64 `json:"wire_bytes_out"`
	Connections  uint64 `json:"connections"`
	// Held is the number of requests that wait for the release.
	Held int `json:"held"`
}

// routeAdmin lets people and scripts misuse the service with curl alone, so
// the arguments are in the query:
//
//	GET  /admin/counters
//	POST /admin/outage?down=true
//	POST /admin/delay?delay=200ms
//	POST /admin/hold                                 stall all requests
//	POST /admin/release
//	POST /admin/lose-answers?count=3                 appends that take effect
//	POST /admin/lose-requests?count=3                appends that do not
//	POST /admin/streams/{name}/cut?first=100         drop the records before
//	POST /admin/streams/{name}/truncate-end?end=90   drop the records from there on
func (s *Server) routeAdmin() {
	s.router.GET("/admin/counters", s.command(func(bunrouter.Request) error { return nil }))
	s.router.POST("/admin/outage", s.command(s.outage))
	s.router.POST("/admin/delay", s.command(s.delay))
	s.router.POST("/admin/hold", s.command(s.hold))
	s.router.POST("/admin/release", s.command(s.release))
	s.router.POST("/admin/lose-answers", s.command(s.loseAnswers))
	s.router.POST("/admin/lose-requests", s.command(s.loseRequests))
	s.router.POST("/admin/streams/:name/cut", s.command(s.cut))
	s.router.POST("/admin/streams/:name/truncate-end", s.command(s.truncateEnd))
}

// command runs f and answers with the counters, or with 400 and its error.
func (s *Server) command(f func(bunrouter.Request) error) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		if err := f(r); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return nil
		}
		return serve.WriteJSON(w, http.StatusOK, s.Counters())
	}
}

// Counters returns the counts so far.
func (s *Server) Counters() Counters {
	return Counters{
		Counters:     s.log.Counters(),
		WireBytesIn:  s.meter.in.Load(),
		WireBytesOut: s.meter.out.Load(),
		Connections:  s.meter.conns.Load(),
		Held:         s.log.Held(),
	}
}

func (s *Server) outage(r bunrouter.Request) error {
	down, err := strconv.ParseBool(r.URL.Query().Get("down"))
	if err == nil {
		s.log.SetOutage(down)
	}
	return err
}

func (s *Server) delay(r bunrouter.Request) error {
	d, err := time.ParseDuration(r.URL.Query().Get("delay"))
	if err == nil {
		s.log.SetDelay(d)
	}
	return err
}

func (s *Server) hold(bunrouter.Request) error {
	s.log.Hold()
	return nil
}

func (s *Server) release(bunrouter.Request) error {
	s.log.Release()
	return nil
}

func (s *Server) loseAnswers(r bunrouter.Request) error {
	n, err := strconv.Atoi(r.URL.Query().Get("count"))
	if err == nil {
		s.log.LoseResponses(n)
	}
	return err
}

func (s *Server) loseRequests(r bunrouter.Request) error {
	n, err := strconv.Atoi(r.URL.Query().Get("count"))
	if err == nil {
		s.log.LoseRequests(n)
	}
	return err
}

func (s *Server) cut(r bunrouter.Request) error {
	st, err := s.stream(r)
	if err != nil {
		return err
	}
	first, err := strconv.ParseUint(r.URL.Query().Get("first"), 10, 64)
	if err == nil {
		st.TruncateBefore(first)
	}
	return err
}

func (s *Server) truncateEnd(r bunrouter.Request) error {
	st, err := s.stream(r)
	if err != nil {
		return err
	}
	end, err := strconv.ParseUint(r.URL.Query().Get("end"), 10, 64)
	if err == nil {
		st.TruncateEnd(end)
	}
	return err
}
