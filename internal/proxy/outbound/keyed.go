package outbound

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/internal/proxy/body"
	"github.com/crocuscross/crocuscross/internal/telemetry"
	"github.com/crocuscross/crocuscross/once"
	"github.com/crocuscross/crocuscross/peer"
	"github.com/crocuscross/crocuscross/peerpb"
	"github.com/crocuscross/crocuscross/quarantine"
	"github.com/crocuscross/crocuscross/snapshot"
)

const (
	// maxKeyedBody and maxKeyedResponse limit the request and response bodies that are buffered
	// for a call with an idempotency key, in bytes.
	maxKeyedBody     = 8 << 20
	maxKeyedResponse = 16 << 20
	// headTimeout bounds the time until the head of a forwarded call has arrived, and the time
	// for sending the response.
	headTimeout = 5 * time.Second
)

// serveKeyed runs a non-idempotent call under its idempotency key, at the daemon that issued
// the key and at no other.
func (c *call) serveKeyed(ctx context.Context, w http.ResponseWriter, header string) error {
	key, err := c.resolveKey(ctx, header)
	if err != nil {
		return err
	}
	if err := c.bufferBody(ctx); err != nil {
		return errkind.WithRunUnknown(err)
	}
	host, boot := key.Holder()
	if host == c.h.opts.Host && boot == c.h.opts.Boot {
		ans, err := c.runKeyed(ctx, key)
		if err != nil {
			return err
		}
		return writeRecordedResponse(w, ans)
	}
	return c.forwardKeyed(ctx, w, key)
}

// resolveKey returns the issued key in the header, or the issued key that stands for a key that
// the caller chose itself.
func (c *call) resolveKey(ctx context.Context, header string) (once.Key, error) {
	if once.IsIssued(header) {
		return once.ParseKey(header)
	}
	return c.h.opts.OwnKeys.Resolve(ctx, c.customer, header)
}

// bufferBody reads a streamed body into memory. The whole body is needed to distinguish the
// request from another one with the same key.
func (c *call) bufferBody(ctx context.Context) error {
	if c.stream == nil {
		return nil
	}
	buf, err := io.ReadAll(io.LimitReader(c.stream, maxKeyedBody+1))
	if err != nil {
		return bodyError(ctx, err)
	}
	if len(buf) > maxKeyedBody {
		return errkind.Newf(errkind.TooLarge, "the body of a call with an idempotency key exceeds the limit of %d bytes", maxKeyedBody)
	}
	c.clearReadDeadline()
	c.buffered, c.stream = buf, nil
	c.head.ContentLength = int64(len(buf))
	c.head.ExpectContinue = false
	c.setIdentity()
	return nil
}

// runKeyed runs the call, or returns the recorded response of its first run. The call continues
// after its caller has disconnected, so that a repeat finds an outcome.
func (c *call) runKeyed(ctx context.Context, key once.Key) (*once.Response, error) {
	fp := once.NewFingerprint(c.head.GetMethod(), c.head.GetTarget(), c.customer)
	_, _ = fp.Write(c.buffered)
	exec, ans, err := c.h.opts.Keys.BeginOrWait(ctx, key, fp.Sum())
	if err != nil || ans != nil {
		return ans, err
	}
	// Has no effect on an execution that has ended. Without it, a panic would leave the key in
	// progress forever.
	defer exec.FinishUnknown()
	ctx, cancel := context.WithDeadlineCause(context.WithoutCancel(ctx), c.deadline, errDeadline)
	defer cancel()
	a, err := c.runAttempts(ctx)
	if err != nil {
		if errkind.RunOf(err) == errkind.NotRun {
			exec.FinishNotRun()
		}
		return nil, err
	}
	ans, err = a.readAll()
	if err != nil {
		return nil, err
	}
	exec.Finish(ans)
	return ans, nil
}

// readAll reads the whole response into memory and ends the attempt.
func (s *pendingResponse) readAll() (*once.Response, error) {
	b, err := io.ReadAll(io.LimitReader(s.body, maxKeyedResponse+1))
	if err == nil && len(b) > maxKeyedResponse {
		err = errors.Newf("the response exceeds the limit of %d bytes", maxKeyedResponse)
	}
	if err != nil {
		s.close(errkind.BackendFailed)
		return nil, errkind.Wrap(errkind.OutcomeUnknown, err, "the call ran, but its response cannot be recorded")
	}
	s.close(errkind.None)
	return body.Record(s.head, b), nil
}

func writeRecordedResponse(w http.ResponseWriter, ans *once.Response) error {
	body.SetFields(w.Header(), body.RecordedHead(ans).GetFields())
	w.WriteHeader(ans.Status)
	if _, err := w.Write(ans.Body); err != nil {
		return errors.Mark(errkind.Wrap(errkind.Canceled, err, "write to the caller"), errResponseTruncated)
	}
	return nil
}

// forwardKeyed forwards the call to the daemon that issued its key. While that daemon is alive,
// a repeat with the key is safe and may find the outcome. Once it is gone, it is unknown
// whether an earlier request ran.
func (c *call) forwardKeyed(ctx context.Context, w http.ResponseWriter, key once.Key) error {
	host, boot := key.Holder()
	m := c.h.opts.Board.Members.Load().Find(host)
	if m == nil || m.Boot != boot || !m.Usable() {
		return errkind.Newf(errkind.OutcomeUnknown, "the daemon on host %s that issued the key is gone", host)
	}
	st, err := c.h.opts.Pool.Open(ctx, m.PeerAddr, peerpb.Kind_KIND_KEYED_CALL)
	if err != nil {
		return keyUnresolvedError(err)
	}
	defer st.Close()
	defer st.BindContext(ctx)()
	head, err := c.exchangeKeyed(ctx, st, key)
	if err != nil {
		return err
	}
	body.SetFields(w.Header(), head.GetFields())
	w.WriteHeader(int(head.GetStatus()))
	if _, err := copyFlushing(w, body.NewReader(st), false); err != nil {
		return errors.Mark(errkind.Wrap(errkind.OutcomeUnknown, err, "stream the response"), errResponseTruncated)
	}
	return nil
}

func keyUnresolvedError(err error) error {
	return errkind.Wrap(errkind.KeyUnresolved, err, "the daemon that issued the key does not answer")
}

// exchangeKeyed sends the call with its key and returns the head of the response.
func (c *call) exchangeKeyed(ctx context.Context, st *peer.Stream, key once.Key) (*peerpb.AnswerHead, error) {
	c.attempts = 1
	req := c.callHead(ctx, nil)
	req.IdempotencyKey = key.String()
	if err := st.Queue(req); err != nil {
		return nil, keyUnresolvedError(err)
	}
	if err := body.Send(st, c.bufferedBody(), int64(len(c.buffered))); err != nil {
		return nil, keyUnresolvedError(err)
	}
	head := new(peerpb.AnswerHead)
	if err := st.RecvMax(head, maxHeadBytes); err != nil {
		return nil, keyUnresolvedError(err)
	}
	if head.GetErrorKind() != "" {
		return nil, gateError(head)
	}
	return head, nil
}

// ServeKeyedCall serves a call that another daemon received and forwarded, because this daemon
// issued its key.
func (h *Handler) ServeKeyedCall(ctx context.Context, st *peer.Stream) error {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	_ = st.SetReadDeadline(time.Now().Add(headTimeout))
	head := new(peerpb.CallHead)
	if err := st.RecvMax(head, maxHeadBytes); err != nil {
		return errors.Wrap(err, "read keyed call")
	}
	ans, err := h.runForwarded(ctx, st, head)
	_ = st.SetWriteDeadline(time.Now().Add(headTimeout))
	if err != nil {
		refusal := &peerpb.AnswerHead{
			ErrorKind: string(errkind.Of(err)), ErrorText: err.Error(),
			RetryAfterMs: uint32(errkind.RetryAfterOf(err).Milliseconds()),
		}
		return errors.CombineErrors(err, st.Send(refusal))
	}
	if err := st.Queue(body.RecordedHead(ans)); err != nil {
		return err
	}
	return body.Send(st, bytes.NewReader(ans.Body), int64(len(ans.Body)))
}

// runForwarded receives the body of a forwarded call and runs the call under its key.
func (h *Handler) runForwarded(ctx context.Context, st *peer.Stream, head *peerpb.CallHead) (*once.Response, error) {
	deadline := time.Now().Add(time.Duration(head.GetRemainingMs()) * time.Millisecond)
	_ = st.SetReadDeadline(deadline)
	// A failure before the key is looked up says nothing about earlier requests with the key,
	// so its kind is KeyUnresolved.
	buf, err := io.ReadAll(io.LimitReader(body.NewReader(st), maxKeyedBody+1))
	if err != nil || len(buf) > maxKeyedBody {
		return nil, errkind.New(errkind.KeyUnresolved, "the body of the forwarded call is incomplete or too large")
	}
	snap := h.opts.Board.Snapshot.Load()
	if snap == nil {
		return nil, errkind.New(errkind.KeyUnresolved, "the daemon that issued the key has no configuration in force")
	}
	key, err := once.ParseKey(head.GetIdempotencyKey())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadlineCause(telemetry.WithTraceparent(ctx, head.GetTraceparent()), deadline, errDeadline)
	defer cancel()
	c := &call{
		h: h, snap: snap, service: head.GetService(), maxBody: h.opts.MaxBody,
		terms: snapshot.CallTerms{NonIdempotent: true}, customer: head.GetCustomer(),
		deadline: deadline, inheritedAttempt: max(1, head.GetAttempt()), head: head, buffered: buf,
	}
	c.identity, _ = quarantine.IdentityFrom(head.GetIdentity())
	return c.runKeyed(ctx, key)
}
