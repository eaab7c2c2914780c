package httplog_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/eventlog/httplog"
	"github.com/crocuscross/crocuscross/eventlog/memlog"
	"github.com/crocuscross/crocuscross/internal/standin/logserver"
	"github.com/crocuscross/crocuscross/internal/standin/relay"
)

// shortTimeout is for requests that are meant to time out, and long enough to
// send one over loopback on a busy machine.
const shortTimeout = 300 * time.Millisecond

// service is a stand-in with a client to it.
type service struct {
	*memlog.Service
	addr   string
	client *httplog.Client
}

func newService(t *testing.T, opts httplog.Options) *service {
	svc := memlog.New(memlog.DefaultOptions())
	srv := httptest.NewServer(logserver.New(svc))
	t.Cleanup(srv.Close)
	opts.BaseURL = srv.URL + "/"
	return &service{Service: svc, addr: srv.Listener.Addr().String(), client: httplog.New(opts)}
}

func mustBeUnknown(t *testing.T, err error) {
	t.Helper()
	must.ErrorIs(t, err, eventlog.ErrUnknown)
	must.False(t, errors.Is(err, eventlog.ErrUnavailable))
}

func mustBeUnavailable(t *testing.T, err error) {
	t.Helper()
	must.ErrorIs(t, err, eventlog.ErrUnavailable)
	must.False(t, errors.Is(err, eventlog.ErrUnknown))
}

func TestAppendReadBounds(t *testing.T) {
	s := newService(t, httplog.Options{})
	log := s.client.Stream("config")
	for i := range 3 {
		off, err := log.Append(t.Context(), []byte{byte(i)})
		must.NoError(t, err)
		must.Eq(t, eventlog.Offset(i+1), off)
	}
	recs, err := log.Read(t.Context(), 2, 10, time.Second)
	must.NoError(t, err)
	must.Eq(t, []eventlog.Record{{Offset: 2, Data: []byte{1}}, {Offset: 3, Data: []byte{2}}}, recs)
	recs, err = log.Read(t.Context(), 4, 10, time.Millisecond)
	must.NoError(t, err)
	must.SliceEmpty(t, recs)
	s.Stream("config").TruncateBefore(3)
	b, err := log.Bounds(t.Context())
	must.NoError(t, err)
	must.Eq(t, eventlog.Bounds{First: 3, End: 4}, b)
	_, err = log.Read(t.Context(), 2, 10, 0)
	var trunc *eventlog.TruncatedError
	must.True(t, errors.As(err, &trunc))
	must.Eq(t, eventlog.TruncatedError{Requested: 2, First: 3}, *trunc)
}

// The record is in the log, then the connection ends without an answer. The
// caller must see ErrUnknown, and the record must be there once: on a reused
// connection a client might take the end for a stale one and send again.
func TestLostAnswerIsUnknown(t *testing.T) {
	s := newService(t, httplog.Options{})
	log := s.client.Stream("config")
	_, err := log.Append(t.Context(), []byte("before"))
	must.NoError(t, err)
	s.LoseResponses(1)
	_, err = log.Append(t.Context(), []byte("x"))
	mustBeUnknown(t, err)
	must.Eq(t, 2, s.Counters().Appends)
}

// The request is lost on its way. The caller sees the same as for a lost
// answer, since it cannot know.
func TestLostRequestIsUnknown(t *testing.T) {
	s := newService(t, httplog.Options{})
	s.LoseRequests(1)
	_, err := s.client.Stream("config").Append(t.Context(), []byte("x"))
	mustBeUnknown(t, err)
	must.Eq(t, 0, s.Counters().Appends)
}

// The service stalls. One caller gives up, another's append runs out of its
// time; both see ErrUnknown. The service goes on, and the record turns up.
func TestStalledAppendIsUnknown(t *testing.T) {
	s := newService(t, httplog.Options{AppendTimeout: shortTimeout})
	patient := httplog.New(httplog.Options{BaseURL: "http://" + s.addr, AppendTimeout: time.Hour})
	s.Hold()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		defer cancel()
		for s.Held() == 0 {
			runtime.Gosched()
		}
	}()
	_, err := patient.Stream("config").Append(ctx, []byte("x"))
	mustBeUnknown(t, err)
	s.Release()
	must.Eq(t, 1, s.Counters().Appends)

	s.Hold()
	defer s.Release()
	_, err = s.client.Stream("config").Append(t.Context(), []byte("y"))
	mustBeUnknown(t, err)
}

// Nothing listens, the service refuses in an outage, or the caller's time is
// up before it begins: the record is certainly not there.
func TestNotSentIsUnavailable(t *testing.T) {
	s := newService(t, httplog.Options{})
	log := s.client.Stream("config")
	s.SetOutage(true)
	_, err := log.Append(t.Context(), []byte("x"))
	mustBeUnavailable(t, err)
	_, err = log.Read(t.Context(), 1, 1, time.Minute)
	mustBeUnavailable(t, err)
	_, err = log.Bounds(t.Context())
	mustBeUnavailable(t, err)
	s.SetOutage(false)

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = log.Append(ctx, []byte("x"))
	mustBeUnavailable(t, err)

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, ln.Close())
	_, err = httplog.New(httplog.Options{BaseURL: "http://" + ln.Addr().String()}).Stream("config").Append(t.Context(), []byte("x"))
	mustBeUnavailable(t, err)
	must.Eq(t, 0, s.Counters().Appends)
}

// Connecting takes longer than the append may: nothing has been sent.
func TestConnectTimeoutIsUnavailable(t *testing.T) {
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	opts := httplog.Options{BaseURL: "http://127.0.0.1:1", AppendTimeout: shortTimeout, HTTPClient: &http.Client{Transport: transport}}
	_, err := httplog.New(opts).Stream("config").Append(t.Context(), []byte("x"))
	mustBeUnavailable(t, err)
}

type muteTransport struct{}

func (muteTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, errors.New("connection refused")
}

// A transport that does not tell how far it got proves nothing, whatever its
// error says.
func TestMuteTransportIsUnknown(t *testing.T) {
	opts := httplog.Options{BaseURL: "http://127.0.0.1:1", HTTPClient: &http.Client{Transport: muteTransport{}}}
	_, err := httplog.New(opts).Stream("config").Append(t.Context(), []byte("x"))
	mustBeUnknown(t, err)
}

// answering returns a log whose service reads each request whole, sends raw
// bytes and closes.
func answering(t *testing.T, raw string) eventlog.Log {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(conn, raw)
			}
			_ = conn.Close()
		}
	}()
	return httplog.New(httplog.Options{BaseURL: "http://" + ln.Addr().String()}).Stream("config")
}

// cut leaves off the last n bytes.
func cut(raw string, n int) string { return raw[:len(raw)-n] }

func answer(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\nLocation: /elsewhere\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", status, len(body), body)
}

// What each answer says about the record. Only those by which the service says
// that it took nothing, or will not, are definite.
func TestAppendAnswers(t *testing.T) {
	for name, tc := range map[string]struct {
		raw     string
		unknown bool
		rejects bool
	}{
		"no answer":       {raw: "", unknown: true},
		"cut header":      {raw: "HTTP/1.1 201 Crea", unknown: true},
		"cut body":        {raw: cut(answer(201, `{"offset":1}`), 3), unknown: true},
		"not JSON":        {raw: answer(201, "fine"), unknown: true},
		"no offset":       {raw: answer(201, "{}"), unknown: true},
		"other success":   {raw: answer(200, `{"offset":1}`), unknown: true},
		"redirect":        {raw: answer(307, ""), unknown: true},
		"internal error":  {raw: answer(500, ""), unknown: true},
		"bad gateway":     {raw: answer(502, ""), unknown: true},
		"gateway timeout": {raw: answer(504, ""), unknown: true},
		"unavailable":     {raw: answer(503, "")},
		"too many":        {raw: answer(429, "")},
		"request timeout": {raw: answer(408, "")},
		"bad request":     {raw: answer(400, "why"), rejects: true},
		"too large":       {raw: answer(413, ""), rejects: true},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := answering(t, tc.raw).Append(t.Context(), []byte("x"))
			if tc.unknown {
				mustBeUnknown(t, err)
				return
			}
			mustBeUnavailable(t, err)
			var rejected *eventlog.RejectedError
			must.Eq(t, tc.rejects, errors.As(err, &rejected))
		})
	}
}

// The service answers an append with a redirect to itself. Following it would
// append the record a second time.
func TestRedirectIsNotFollowed(t *testing.T) {
	var requests atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	defer srv.Close()
	_, err := httplog.New(httplog.Options{BaseURL: srv.URL}).Stream("config").Append(t.Context(), []byte("x"))
	mustBeUnknown(t, err)
	must.Eq(t, 1, requests.Load())
}

// record encodes one record as the service does.
func record(t *testing.T, off eventlog.Offset, data []byte) string {
	var b strings.Builder
	_, err := protodelim.MarshalTo(&b, &configpb.SequencedRecord{Offset: off, Data: data})
	must.NoError(t, err)
	return b.String()
}

// Answers to a read that are cut short, too long, out of order or nonsense must
// be errors: a record skipped in silence would be missing for good.
func TestReadAnswers(t *testing.T) {
	one, two, three := record(t, 1, []byte("a")), record(t, 2, []byte("b")), record(t, 3, []byte("c"))
	for name, raw := range map[string]string{
		"cut record":   answer(200, cut(one+two, 3)),
		"cut answer":   cut(answer(200, one+two), len(two)),
		"gap":          answer(200, one+three),
		"other start":  answer(200, two+three),
		"over limit":   answer(200, one+two+three),
		"large record": answer(200, record(t, 1, make([]byte, eventlog.MaxRecordBytes+100))),
		"nonsense":     answer(200, "hello"),
		"bad 410":      answer(410, "{}"),
		"redirect":     answer(302, ""),
	} {
		t.Run(name, func(t *testing.T) {
			recs, err := answering(t, raw).Read(t.Context(), 1, 2, 0)
			mustBeUnavailable(t, err)
			must.SliceEmpty(t, recs)
		})
	}
	recs, err := answering(t, answer(200, one+two)).Read(t.Context(), 1, 2, 0)
	must.NoError(t, err)
	must.Len(t, 2, recs)
}

// An answer above the bound is cut off there and not held in memory.
func TestReadIsBounded(t *testing.T) {
	s := newService(t, httplog.Options{MaxReadBytes: 1000})
	log := s.client.Stream("config")
	for range 3 {
		_, err := log.Append(t.Context(), make([]byte, 400))
		must.NoError(t, err)
	}
	_, err := log.Read(t.Context(), 1, 3, 0)
	mustBeUnavailable(t, err)
	recs, err := log.Read(t.Context(), 1, 2, 0)
	must.NoError(t, err)
	must.Len(t, 2, recs)
}

func TestRejections(t *testing.T) {
	s := newService(t, httplog.Options{})
	var rejected *eventlog.RejectedError
	_, err := s.client.Stream("config").Append(t.Context(), make([]byte, eventlog.MaxRecordBytes+1))
	must.True(t, errors.As(err, &rejected))
	_, err = s.client.Stream("Not A Name").Append(t.Context(), nil)
	must.True(t, errors.As(err, &rejected))
	_, err = s.client.Stream("config").Read(t.Context(), 1, 0, 0)
	must.True(t, errors.As(err, &rejected))
	off, err := s.client.Stream("config").Append(t.Context(), make([]byte, eventlog.MaxRecordBytes))
	must.NoError(t, err)
	must.Eq(t, 1, off)
}

// The open connection goes silent for good while new ones work. One append
// ends as unknown; the next must not use the same connection again.
func TestSilentConnectionIsLeft(t *testing.T) {
	s := newService(t, httplog.Options{})
	r, err := relay.Listen(s.addr)
	must.NoError(t, err)
	defer r.Close()
	opts := httplog.Options{BaseURL: "http://" + r.Addr().String()}
	log := httplog.New(opts).Stream("config")
	_, err = log.Append(t.Context(), []byte("a"))
	must.NoError(t, err)
	r.ForgetOpen()
	ctx, cancel := context.WithTimeout(t.Context(), shortTimeout)
	defer cancel()
	_, err = log.Append(ctx, []byte("b"))
	mustBeUnknown(t, err)
	off, err := log.Append(t.Context(), []byte("c"))
	must.NoError(t, err)
	must.Eq(t, 2, off)
}
