// Package logserver serves the log service in memory over HTTP, in the
// protocol of package httplog, with an admin API to make it misbehave.
package logserver

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"regexp"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uptrace/bunrouter"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/eventlog/httplog"
	"github.com/crocuscross/crocuscross/eventlog/memlog"
	"github.com/crocuscross/crocuscross/internal/standin/serve"
)

const (
	// maxLimit bounds the records of one answer.
	maxLimit = 10_000
	// maxWait bounds how long a read waits for the first record.
	maxWait = 30 * time.Second
	// shutdownGrace is enough for requests whose context has ended.
	shutdownGrace = 5 * time.Second
)

var streamName = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,63}$`)

// Server is the HTTP side of a memlog.Service.
type Server struct {
	log    *memlog.Service
	meter  *meter
	router *bunrouter.Router
}

// New returns a server for log.
func New(log *memlog.Service) *Server {
	s := &Server{log: log, meter: &meter{}, router: bunrouter.New()}
	s.router.POST("/v1/streams/:name/records", s.append)
	s.router.GET("/v1/streams/:name/records", s.read)
	s.router.GET("/v1/streams/:name/bounds", s.bounds)
	s.routeAdmin()
	return s
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Run serves ln until ctx ends and counts the bytes of its connections.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	ln = &meteredListener{Listener: ln, meter: s.meter}
	// Reads wait for records; without ctx they would outlast the shutdown.
	return serve.Run(ctx, ln, s, serve.Options{Requests: ctx, Grace: shutdownGrace})
}

func (s *Server) append(w http.ResponseWriter, r bunrouter.Request) error {
	st, err := s.stream(r)
	if err != nil {
		return answerError(w, err)
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, eventlog.MaxRecordBytes))
	if err != nil {
		return answerError(w, &eventlog.RejectedError{Reason: err.Error()})
	}
	off, err := st.Append(r.Context(), data)
	if err != nil {
		return answerError(w, err)
	}
	return serve.WriteJSON(w, http.StatusCreated, httplog.AppendResponse{Offset: off})
}

func (s *Server) read(w http.ResponseWriter, r bunrouter.Request) error {
	st, err := s.stream(r)
	if err != nil {
		return answerError(w, err)
	}
	q, err := parseRead(r.URL.Query())
	if err != nil {
		return answerError(w, &eventlog.RejectedError{Reason: err.Error()})
	}
	recs, err := st.Read(r.Context(), q.from, q.limit, q.wait)
	if err != nil {
		return answerError(w, err)
	}
	var body bytes.Buffer
	for _, rec := range recs {
		m := &configpb.SequencedRecord{Offset: rec.Offset, Data: rec.Data}
		if _, err := protodelim.MarshalTo(&body, m); err != nil {
			return err
		}
	}
	w.Header().Set("Content-Type", httplog.ContentTypeRecords)
	w.Header().Set("Content-Length", strconv.Itoa(body.Len()))
	_, err = body.WriteTo(w)
	return err
}

func (s *Server) bounds(w http.ResponseWriter, r bunrouter.Request) error {
	st, err := s.stream(r)
	if err != nil {
		return answerError(w, err)
	}
	b, err := st.Bounds(r.Context())
	if err != nil {
		return answerError(w, err)
	}
	return serve.WriteJSON(w, http.StatusOK, httplog.BoundsResponse{First: b.First, End: b.End})
}

func (s *Server) stream(r bunrouter.Request) (*memlog.Stream, error) {
	name := r.Param("name")
	if !streamName.MatchString(name) {
		return nil, &eventlog.RejectedError{Reason: "bad stream name"}
	}
	return s.log.Stream(name), nil
}

type readQuery struct {
	from  eventlog.Offset
	limit int
	wait  time.Duration
}

func parseRead(q url.Values) (readQuery, error) {
	from, err := strconv.ParseUint(q.Get(httplog.ParamFrom), 10, 64)
	if err != nil {
		return readQuery{}, errors.Wrap(err, httplog.ParamFrom)
	}
	limit, err := strconv.Atoi(q.Get(httplog.ParamLimit))
	if err != nil {
		return readQuery{}, errors.Wrap(err, httplog.ParamLimit)
	}
	wait, err := time.ParseDuration(q.Get(httplog.ParamWait))
	if err != nil {
		return readQuery{}, errors.Wrap(err, httplog.ParamWait)
	}
	return readQuery{from: from, limit: min(limit, maxLimit), wait: min(wait, maxWait)}, nil
}

// answerError sends what the protocol has for an error of the service. An
// unknown outcome has no status: the connection ends without an answer, as it
// does when a real service or the network fails after the append.
func answerError(w http.ResponseWriter, err error) error {
	var rejected *eventlog.RejectedError
	var truncated *eventlog.TruncatedError
	switch {
	case errors.As(err, &truncated):
		return serve.WriteJSON(w, http.StatusGone, httplog.TruncatedResponse{First: truncated.First})
	case errors.As(err, &rejected):
		http.Error(w, rejected.Reason, http.StatusBadRequest)
		return nil
	case errors.Is(err, eventlog.ErrUnavailable):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return nil
	}
	panic(http.ErrAbortHandler)
}
