package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/internal/answer"
	"github.com/crocuscross/crocuscross/internal/proxy/body"
	"github.com/crocuscross/crocuscross/internal/proxy/outbound"
	"github.com/crocuscross/crocuscross/internal/standin/backendserver"
	"github.com/crocuscross/crocuscross/internal/standin/payload"
)

const (
	dialTimeout  = time.Second
	maxEchoBytes = 64 << 10
	maxErrBytes  = 64 << 10
)

// sender sends single tries and judges their answers.
type sender struct {
	opts   Options
	client *http.Client
}

func newSender(opts Options) *sender {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: opts.Concurrency,
		DisableCompression:  true,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &sender{opts: opts, client: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

func (s *sender) close() { s.client.CloseIdleConnections() }

// request builds one try. A body that has a reader, even for no bytes, cannot be
// rewound: without it the transport would repeat a call with a key by itself
// when a kept-alive connection breaks.
func (s *sender) request(ctx context.Context, c *Call, shape Shape) (*http.Request, error) {
	u := strings.TrimRight(c.Target, "/") + c.Path
	if s.opts.AnswerBytes > 0 {
		u = withSize(u, s.opts.AnswerBytes)
	}
	var reader io.Reader
	if shape.hasBody() {
		reader = payload.NewReader(c.RequestID, s.opts.BodyBytes)
	}
	r, err := http.NewRequestWithContext(ctx, c.Method, u, reader)
	if err != nil {
		return nil, err
	}
	if shape.hasBody() {
		r.ContentLength = s.opts.BodyBytes
	}
	r.Header.Set(body.HeaderCustomer, s.opts.Customer)
	r.Header.Set(payload.HeaderRequestID, c.RequestID)
	r.Header.Set(payload.HeaderTry, strconv.Itoa(c.Tries+1))
	if c.IdempotencyKey != "" {
		r.Header.Set(body.HeaderIdempotencyKey, c.IdempotencyKey)
	}
	return r, nil
}

func withSize(u string, size int64) string {
	sep := "?"
	if strings.Contains(u, "?") {
		sep = "&"
	}
	return u + sep + "size=" + strconv.FormatInt(size, 10)
}

// send makes one try of a call.
func (s *sender) send(ctx context.Context, c *Call, shape Shape) try {
	start := time.Now()
	t := s.exchange(ctx, c, shape)
	t.start, t.end = start, time.Now()
	return t
}

func (s *sender) exchange(ctx context.Context, c *Call, shape Shape) try {
	ctx, cancel := context.WithTimeout(ctx, s.opts.Timeout)
	defer cancel()
	r, err := s.request(ctx, c, shape)
	if err != nil {
		return try{verdict: NotSent, err: err}
	}
	// The transport repeats an idempotent request by itself when a kept-alive
	// connection breaks under it. If nothing listens any more it fails to dial
	// then, though the request has been sent before.
	sent := false
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		WroteHeaders: func() { sent = true },
	}))
	resp, err := s.client.Do(r)
	if err != nil {
		return try{verdict: failure(err, sent), err: err}
	}
	defer resp.Body.Close()
	return s.judge(resp, c, shape)
}

// failure tells a connection that was never made from one that broke.
func failure(err error, sent bool) Verdict {
	var op *net.OpError
	if !sent && errors.As(err, &op) && op.Op == "dial" {
		return NotSent
	}
	return Unknown
}

func (s *sender) judge(resp *http.Response, c *Call, shape Shape) try {
	t := try{status: resp.StatusCode, kind: errkind.Kind(resp.Header.Get(answer.HeaderError))}
	t.config, _ = strconv.ParseUint(resp.Header.Get(outbound.HeaderConfig), 10, 64)
	if t.kind != errkind.None {
		t.run = errkind.Run(resp.Header.Get(answer.HeaderRun))
		t.err = answer.FromResponse(resp)
		t.retryAfter = errkind.RetryAfterOf(t.err)
		t.verdict = Unknown
		if t.run == errkind.NotRun {
			t.verdict = Refused
		}
		return t
	}
	if resp.StatusCode != http.StatusOK {
		t.verdict = BackendError
		_, _ = io.CopyN(io.Discard, resp.Body, maxErrBytes)
		return t
	}
	t.err = s.verify(resp, c, shape)
	switch {
	case t.err == nil:
		t.verdict = OK
	case errors.Is(t.err, payload.ErrMismatch):
		t.verdict = Wrong
	default:
		t.verdict = Unknown
	}
	return t
}

// verify checks that the answer is whole and the call's own.
func (s *sender) verify(resp *http.Response, c *Call, shape Shape) error {
	if sum := resp.Header.Get(payload.HeaderBodySHA256); sum != s.bodySum(c, shape) {
		return errors.Wrapf(payload.ErrMismatch, "body digest %q", sum)
	}
	if s.opts.AnswerBytes > 0 {
		return payload.Verify(resp.Body, c.RequestID, s.opts.AnswerBytes)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxEchoBytes))
	if err != nil {
		return err
	}
	var echo backendserver.Echo
	if err := json.Unmarshal(raw, &echo); err != nil {
		return errors.Wrapf(payload.ErrMismatch, "%v", err)
	}
	path, _, _ := strings.Cut(c.Path, "?")
	if echo.Method != c.Method || echo.Path != path || echo.RequestID != c.RequestID {
		return errors.Wrapf(payload.ErrMismatch, "answer to %s %s", echo.Method, echo.Path)
	}
	return nil
}

func (s *sender) bodySum(c *Call, shape Shape) string {
	digest := sha256.New()
	if shape.hasBody() {
		_, _ = io.Copy(digest, payload.NewReader(c.RequestID, s.opts.BodyBytes))
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// issuedKey asks a daemon for an idempotency key. The error has the kind of
// the daemon's answer.
func (s *sender) issuedKey(ctx context.Context, target string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.Timeout)
	defer cancel()
	u, err := url.JoinPath(target, outbound.KeysPath)
	if err != nil {
		return "", err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, u, nil)
	if err != nil {
		return "", err
	}
	r.Header.Set(body.HeaderCustomer, s.opts.Customer)
	resp, err := s.client.Do(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if err := answer.FromResponse(resp); err != nil {
		return "", err
	}
	_, _ = io.CopyN(io.Discard, resp.Body, maxErrBytes)
	key := resp.Header.Get(body.HeaderIdempotencyKey)
	if resp.StatusCode != http.StatusOK || key == "" {
		return "", errors.Newf("daemon issued no key: %s", resp.Status)
	}
	return key, nil
}
