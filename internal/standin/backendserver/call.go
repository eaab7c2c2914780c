package backendserver

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/internal/standin/payload"
	"github.com/crocuscross/crocuscross/internal/standin/serve"
)

// Query parameters by which a caller asks for an answer of a kind.
const (
	// paramSize asks for a payload of so many bytes in place of the Echo.
	paramSize = "size"
	// paramSleep takes the place of the service time.
	paramSleep = "sleep"
)

const (
	maxBodyBytes   = 1 << 30
	maxAnswerBytes = 1 << 30
	maxSleep       = time.Minute
)

// Echo is the answer to a request that asks for no payload.
type Echo struct {
	Server     string `json:"server"`
	Service    string `json:"service"`
	Execution  uint64 `json:"execution"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	RequestID  string `json:"request_id"`
	BodyBytes  int64  `json:"body_bytes"`
	BodySHA256 string `json:"body_sha256"`
}

// counts are kept without a lock, since each request touches them.
type counts struct {
	shed, badRequests atomic.Uint64
}

// call is one request that runs.
type call struct {
	s    *Server
	w    http.ResponseWriter
	r    *http.Request
	wish wish
}

// wish is what the request's query asks for.
type wish struct {
	// size is below 0 where no payload is asked for.
	size int64
	// sleep is below 0 where the service time holds.
	sleep time.Duration
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	if s.behavior.sheds() {
		s.counts.shed.Add(1)
		w.Header().Set("Retry-After", "1")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	wish, err := parseWish(r.URL.Query())
	if err != nil {
		s.counts.badRequests.Add(1)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.slots.acquire(r.Context()); err != nil {
		panic(http.ErrAbortHandler)
	}
	defer s.slots.release()
	c := &call{s: s, w: w, r: r, wish: wish}
	e := s.rec.begin(r)
	// A handler that panics must not leave the record as if it still ran.
	outcome := AnswerCut
	defer func() { s.rec.end(e, outcome) }()
	outcome = c.run(e.Seq)
	if outcome == Canceled || outcome == AnswerCut {
		// A plain return would be sent as an empty 200.
		panic(http.ErrAbortHandler)
	}
}

func (c *call) run(seq uint64) Outcome {
	digest := sha256.New()
	n, err := io.Copy(digest, http.MaxBytesReader(c.w, c.r.Body, maxBodyBytes))
	if err != nil {
		return c.bodyCut(err)
	}
	d := c.wish.sleep
	if d < 0 {
		d = c.s.behavior.duration()
	}
	if err := c.s.behavior.work(c.r.Context(), d); err != nil {
		return Canceled
	}
	sum := hex.EncodeToString(digest.Sum(nil))
	id := c.r.Header.Get(payload.HeaderRequestID)
	c.w.Header().Set(payload.HeaderRequestID, id)
	c.w.Header().Set(payload.HeaderBodySHA256, sum)
	if c.wish.size >= 0 {
		return answered(c.sendPayload(id))
	}
	return answered(serve.WriteJSON(c.w, http.StatusOK, Echo{
		Server: c.s.opts.Name, Service: c.s.opts.Service, Execution: seq,
		Method: c.r.Method, Path: c.r.URL.Path, RequestID: id,
		BodyBytes: n, BodySHA256: sum,
	}))
}

func (c *call) bodyCut(err error) Outcome {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		http.Error(c.w, err.Error(), http.StatusRequestEntityTooLarge)
	} else {
		http.Error(c.w, "body cut short", http.StatusBadRequest)
	}
	return BodyCut
}

func (c *call) sendPayload(id string) error {
	c.w.Header().Set("Content-Type", "application/octet-stream")
	c.w.Header().Set("Content-Length", strconv.FormatInt(c.wish.size, 10))
	_, err := io.Copy(c.w, payload.NewReader(id, c.wish.size))
	return err
}

func answered(err error) Outcome {
	if err != nil {
		return AnswerCut
	}
	return Completed
}

func parseWish(q url.Values) (wish, error) {
	w := wish{size: -1, sleep: -1}
	if v := q.Get(paramSize); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < 0 || n > maxAnswerBytes {
			return wish{}, errors.Newf("size must be 0 to %d, not %q", maxAnswerBytes, v)
		}
		w.size = n
	}
	if v := q.Get(paramSleep); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil || d < 0 || d > maxSleep {
			return wish{}, errors.Newf("sleep must be 0s to %s, not %q", maxSleep, v)
		}
		w.sleep = d
	}
	return w, nil
}

// slots bounds the requests that run at once.
type slots struct {
	free       chan struct{}
	queued     atomic.Int64
	peakQueued atomic.Int64
}

func newSlots(n int) *slots { return &slots{free: make(chan struct{}, n)} }

// acquire waits for a slot. A gate that keeps to the announced number never
// makes it wait; the peak tells.
func (s *slots) acquire(ctx context.Context) error {
	select {
	case s.free <- struct{}{}:
		return nil
	default:
	}
	n := s.queued.Add(1)
	defer s.queued.Add(-1)
	for peak := s.peakQueued.Load(); n > peak && !s.peakQueued.CompareAndSwap(peak, n); {
		peak = s.peakQueued.Load()
	}
	select {
	case s.free <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *slots) release() { <-s.free }

func (s *slots) inUse() int { return len(s.free) }
