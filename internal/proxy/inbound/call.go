package inbound

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/trace"

	"github.com/crocuscross/crocuscross/admission"
	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/gate"
	"github.com/crocuscross/crocuscross/internal/proxy/advice"
	"github.com/crocuscross/crocuscross/peer"
	"github.com/crocuscross/crocuscross/peerpb"
	"github.com/crocuscross/crocuscross/quarantine"
)

// call is one attempt in progress.
type call struct {
	h      *Handler
	st     *peer.Stream
	head   *peerpb.CallHead
	span   trace.Span
	ctx    context.Context
	cancel context.CancelFunc
	// heldUp is how long the call was held up on its way here, as far as can be told.
	heldUp   time.Duration
	start    time.Time
	deadline time.Time
	// madeBy is who makes the calls of the route.
	madeBy admission.MadeBy
	// site is the backend server that the call goes to, set by place.
	site *site
	// arrived is set once the call may have reached the backend server.
	arrived bool
	// identity tells the request from others, zero where an older daemon sent it.
	identity quarantine.Identity
	// warmAt is when the backend server is no longer slow after its start, set by place.
	warmAt time.Time
	// status and latency are of the backend server's answer, 0 before it.
	status  int
	latency time.Duration
}

// run admits the attempt and runs it. The error is what the other daemon was
// answered, nil where the backend server answered.
func (c *call) run() error {
	if err := c.place(); err != nil {
		return c.refuse(err)
	}
	if err := c.quarantined(); err != nil {
		return c.refuse(err)
	}
	up := newUpload(c.st, c.cancel, c.onLinkLost)
	defer up.stop()
	release, err := c.receiveBody(up)
	if err != nil {
		return c.refuse(err)
	}
	defer release()
	if c.nested() && c.h.opts.CalleeStats.HasCallees() {
		c.site.gate.ReserveNestedSlot()
	}
	ticket, err := c.site.gate.Admit(c.ctx, c.gateCall())
	if err != nil {
		return c.refuse(err)
	}
	// Whatever happens, the slot is given back.
	outcome := gate.Failed
	defer func() { ticket.Done(outcome) }()
	// It may have waited for its slot while others like it ended their servers.
	if err := c.quarantined(); err != nil {
		outcome = gate.NotStarted
		return c.refuse(err)
	}
	counted, err := c.h.opts.Rollout.Begin()
	if err != nil {
		outcome = gate.NotStarted
		return c.refuse(err)
	}
	defer func() { c.endCounted(counted, err) }()
	outcome, err = c.runAdmitted(up)
	return err
}

// nested reports whether a service makes the call for a request that it works on, by what
// was seen here or, until that is enough, by what the sender has been told elsewhere.
func (c *call) nested() bool {
	return c.madeBy == admission.MadeByServices || c.madeBy == admission.MadeByUnknown && c.head.GetNested()
}

// gateCall returns what the gate looks at.
func (c *call) gateCall() gate.Call {
	g := gate.Call{
		Customer:  c.head.GetCustomer(),
		Route:     c.head.GetRoute(),
		Nested:    c.nested(),
		Priority:  int(c.head.GetPriority()),
		Remaining: time.Until(c.deadline),
	}
	if c.h.opts.MergeRoutes {
		g.Route = ""
	}
	if g.Nested {
		return g
	}
	g.MaxWait = time.Duration(c.head.GetMaxQueueMs()) * time.Millisecond
	if left := time.Duration(c.head.GetObjectiveLeftMs()) * time.Millisecond; left > 0 && !c.h.opts.IgnoreObjective {
		g.ObjectiveLeft = max(left-time.Since(c.start), time.Millisecond)
	}
	return g
}

// runAdmitted runs a call that holds a slot.
func (c *call) runAdmitted(up *upload) (gate.Outcome, error) {
	if up.awaited != nil {
		if err := c.sendContinue(0); err != nil {
			return gate.NotStarted, err
		}
	}
	c.h.opts.CalleeStats.AddRun()
	run := c.h.opts.Runs.Begin(c.head.GetRequestId(), c.deadline)
	defer func() { run.End(time.Now()) }()
	c.site.runs.begin(c)
	defer c.site.runs.end(c)
	if !c.head.GetNonIdempotent() {
		return c.forward(up)
	}
	return c.forwardOnce(up)
}

// sendContinue asks for so many bytes of the body, 0 for all of it.
func (c *call) sendContinue(bytes int) error {
	if err := c.st.Send(&peerpb.AnswerHead{Status: http.StatusContinue, ContinueBytes: uint32(bytes)}); err != nil {
		return linkBroken(err)
	}
	return nil
}

// place finds the backend server beside this daemon, if it offers the service that
// the call is for and takes calls. A server with an id that drains or has left takes
// none from the moment on at which it was told that this is known, whatever other
// daemons have heard: they may still send calls here.
func (c *call) place() error {
	local := c.h.opts.Local.Load()
	if local == nil || local.Service != c.head.GetService() {
		return errkind.Newf(errkind.NoBackend, "no backend server of service %q is here", c.head.GetService())
	}
	if local.ID != "" && local.Draining {
		return errkind.Newf(errkind.Draining, "backend server %s drains", local.ID)
	}
	if err := c.h.opts.Rollout.Check(); err != nil {
		return err
	}
	c.warmAt = local.WarmAt
	var err error
	c.site, err = c.h.sites.of(local)
	return err
}

// onLinkLost ends an idempotent call that nobody can receive any more.
func (c *call) onLinkLost() {
	if !c.head.GetNonIdempotent() {
		c.cancel()
	}
}

// refuse answers with an error in place of the backend server and returns it.
func (c *call) refuse(err error) error {
	head := &peerpb.AnswerHead{
		ErrorKind:    string(errkind.Of(err)),
		ErrorText:    err.Error(),
		RetryAfterMs: uint32(errkind.RetryAfterOf(err).Milliseconds()),
		Load:         c.load(),
		Arrived:      c.arrived,
		MadeBy:       advice.MadeByToProto(c.madeBy),
		Callees:      advice.CalleesToProto(c.h.opts.CalleeStats.Rates()),
	}
	_ = c.st.SetWriteDeadline(time.Now().Add(refuseTimeout))
	if serr := c.st.Send(head); serr != nil {
		return errors.WithSecondaryError(err, serr)
	}
	return err
}

func (c *call) load() *peerpb.Load {
	l := c.h.Load()
	return &peerpb.Load{
		InUse:         uint32(l.InUse),
		Queued:        uint32(l.Queued),
		Slots:         uint32(l.Slots),
		Draining:      l.Draining,
		ServiceTimeUs: uint32(l.ServiceTime.Microseconds()),
		WaitUs:        uint32(l.Wait.Microseconds()),
	}
}
