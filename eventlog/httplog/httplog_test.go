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

// shortTimeout applies to requests that are expected to time out. It is long enough to send a
// request over loopback on a busy machine.
const shortTimeout = 300 * time.Millisecond

// service is an in-memory log service behind HTTP, with a client for it.
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

// The connection closes without a response after the record has been appended. The append must
// return ErrUnknown, and the record must be in the log only once: an HTTP client may take the close
// of a reused connection for a stale connection and retry.
func TestLostResponseIsUnknown(t *testing.T) {
	s := newService(t, httplog.Options{})
	log := s.client.Stream("config")
	_, err := log.Append(t.Context(), []byte("before"))
	must.NoError(t, err)
	s.LoseResponses(1)
	_, err = log.Append(t.Context(), []byte("x"))
	mustBeUnknown(t, err)
	must.Eq(t, 2, s.Counters().Appends)
}

// A lost request returns the same error as a lost response, because the client cannot distinguish
// them.
func TestLostRequestIsUnknown(t *testing.T) {
	s := newService(t, httplog.Options{})
	s.LoseRequests(1)
	_, err := s.client.Stream("config").Append(t.Context(), []byte("x"))
	mustBeUnknown(t, err)
	must.Eq(t, 0, s.Counters().Appends)
}

// An append to a stalled service returns ErrUnknown, both if the caller cancels it and if it
// exceeds AppendTimeout. The record is appended when the service resumes.
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

// An append is reported as unavailable if the connection is refused, if the service rejects it
// during an outage, or if the caller's context has ended before the append begins.
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

// If connecting takes longer than AppendTimeout, nothing has been sent.
func TestConnectTimeoutIsUnavailable(t *testing.T) {
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	opts := httplog.Options{BaseURL: "http://127.0.0.1:1", AppendTimeout: shortTimeout, HTTPClient: &http.Client{Transport: transport}}
	_, err := httplog.New(opts).Stream("config").Append(t.Context(), []byte("x"))
	mustBeUnavailable(t, err)
}

type untracedTransport struct{}

func (untracedTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, errors.New("connection refused")
}

// A transport without support for tracing does not show whether the request was sent, whatever its
// error says.
func TestUntracedTransportIsUnknown(t *testing.T) {
	opts := httplog.Options{BaseURL: "http://127.0.0.1:1", HTTPClient: &http.Client{Transport: untracedTransport{}}}
	_, err := httplog.New(opts).Stream("config").Append(t.Context(), []byte("x"))
	mustBeUnknown(t, err)
}

// logReturning returns a log whose service reads each request completely, sends the raw response
// and closes the connection.
func logReturning(t *testing.T, raw string) eventlog.Log {
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

// trimEnd removes the last n bytes.
func trimEnd(raw string, n int) string { return raw[:len(raw)-n] }

// withBlankName replaces a field by one that has a blank in its name.
func withBlankName(raw string) string { return strings.Replace(raw, "Location:", "Location :", 1) }

func rawResponse(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %03d x\r\nLocation: /elsewhere\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", status, len(body), body)
}

// Only the statuses with which the service states that it did not or will not accept the request
// have a definite outcome. All other responses leave the outcome unknown.
func TestAppendResponses(t *testing.T) {
	for name, tc := range map[string]struct {
		raw     string
		unknown bool
		rejects bool
	}{
		"no response":      {raw: "", unknown: true},
		"truncated header": {raw: "HTTP/1.1 201 Crea", unknown: true},
		"truncated body":   {raw: trimEnd(rawResponse(201, `{"offset":1}`), 3), unknown: true},
		"not JSON":         {raw: rawResponse(201, "fine"), unknown: true},
		"no offset":        {raw: rawResponse(201, "{}"), unknown: true},
		"other success":    {raw: rawResponse(200, `{"offset":1}`), unknown: true},
		"redirect":         {raw: rawResponse(307, ""), unknown: true},
		"internal error":   {raw: rawResponse(500, ""), unknown: true},
		"bad gateway":      {raw: rawResponse(502, ""), unknown: true},
		"gateway timeout":  {raw: rawResponse(504, ""), unknown: true},
		"unavailable":      {raw: rawResponse(503, "")},
		"too many":         {raw: rawResponse(429, "")},
		"request timeout":  {raw: rawResponse(408, "")},
		"bad request":      {raw: rawResponse(400, "why"), rejects: true},
		"status 000":       {raw: rawResponse(0, ""), unknown: true},
		"blank in a name":  {raw: withBlankName(rawResponse(201, `{"offset":1}`)), unknown: true},
		"no rejection":     {raw: withBlankName(rawResponse(503, "")), unknown: true},
		"too large":        {raw: rawResponse(413, ""), rejects: true},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := logReturning(t, tc.raw).Append(t.Context(), []byte("x"))
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

// Following a redirect in response to an append could append the record a second time.
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

// record encodes one record in the format of the service.
func record(t *testing.T, off eventlog.Offset, data []byte) string {
	var b strings.Builder
	_, err := protodelim.MarshalTo(&b, &configpb.SequencedRecord{Offset: off, Data: data})
	must.NoError(t, err)
	return b.String()
}

// Responses to a read that are truncated, too long, out of order or malformed must return an error.
// A record that is skipped without an error would be missing permanently.
func TestReadResponses(t *testing.T) {
	one, two, three := record(t, 1, []byte("a")), record(t, 2, []byte("b")), record(t, 3, []byte("c"))
	for name, raw := range map[string]string{
		"truncated record":   rawResponse(200, trimEnd(one+two, 3)),
		"truncated response": trimEnd(rawResponse(200, one+two), len(two)),
		"gap":                rawResponse(200, one+three),
		"other start":        rawResponse(200, two+three),
		"over limit":         rawResponse(200, one+two+three),
		"large record":       rawResponse(200, record(t, 1, make([]byte, eventlog.MaxRecordBytes+100))),
		"nonsense":           rawResponse(200, "hello"),
		"bad 410":            rawResponse(410, "{}"),
		"blank in a name":    withBlankName(rawResponse(200, one+two)),
		"redirect":           rawResponse(302, ""),
	} {
		t.Run(name, func(t *testing.T) {
			recs, err := logReturning(t, raw).Read(t.Context(), 1, 2, 0)
			mustBeUnavailable(t, err)
			must.SliceEmpty(t, recs)
		})
	}
	recs, err := logReturning(t, rawResponse(200, one+two)).Read(t.Context(), 1, 2, 0)
	must.NoError(t, err)
	must.Len(t, 2, recs)
}

// A response larger than MaxReadBytes is truncated at the limit and not held in memory.
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

// An open connection stops delivering data while new connections work. The append on it has an
// unknown outcome, and the next append must use a new connection.
func TestSilentConnectionIsNotReused(t *testing.T) {
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
