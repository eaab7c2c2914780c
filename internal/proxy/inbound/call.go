package inbound

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/trace"

	"github.com/crocuscross/crocuscross/admission"
	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/gate"
	"github.com/crocuscross/crocuscross/internal/proxy/advice"
	"github.com/crocuscross/crocuscross/internal/proxy/backendconn"
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
	// transitDelay is the estimated delay of the call on its way to this host.
	transitDelay time.Duration
	start        time.Time
	deadline     time.Time
	// madeBy is whether callers or services make the calls of the route.
	madeBy admission.MadeBy
	// instance is the backend server that the call goes to, set by findServer.
	instance *serverInstance
	// arrived is set once the call may have reached the backend server.
	arrived bool
	// conn is the connection to the backend server that carried the call.
	conn backendconn.ConnInfo
	// identity identifies the request across attempts. It is zero if an older daemon sent the
	// call.
	identity quarantine.Identity
	// warmAt is when the backend server's slow phase after its start ends, set by findServer.
	warmAt time.Time
	// status is the HTTP status of the backend server's response, and latency the time until
	// its head arrived. Both are 0 before that.
	status  int
	latency time.Duration
}

// run admits the attempt and runs it. It returns nil if the backend server's response was sent,
// and otherwise the error that was sent to the other daemon or that prevented sending.
func (c *call) run() error {
	if err := c.findServer(); err != nil {
		return c.reject(err)
	}
	if err := c.adoptNotice(); err != nil {
		return c.reject(err)
	}
	if err := c.checkQuarantine(); err != nil {
		return c.reject(err)
	}
	up := newUpload(c.st, c.cancel, c.onStreamLost)
	defer up.stop()
	release, err := c.receiveBody(up)
	if err != nil {
		return c.reject(err)
	}
	defer release()
	if c.nested() && c.h.opts.CalleeStats.HasCallees() {
		c.instance.gate.ReserveNestedSlot()
	}
	ticket, err := c.instance.gate.Admit(c.ctx, c.gateCall())
	if err != nil {
		return c.reject(err)
	}
	// The slot is released on every path.
	outcome := gate.Failed
	defer func() { ticket.Done(outcome) }()
	// While the call waited for its slot, the same request may have crashed other servers.
	if err := c.checkQuarantine(); err != nil {
		outcome = gate.NotStarted
		return c.reject(err)
	}
	rolloutCall, err := c.h.opts.Rollout.Begin()
	if err != nil {
		outcome = gate.NotStarted
		return c.reject(err)
	}
	defer func() { c.endRolloutCall(rolloutCall, err) }()
	outcome, err = c.runAdmitted(up)
	return err
}

// nested reports whether a service makes the call while it processes a request. The
// observations at this daemon decide; until there are enough of them, the sender's information
// does.
func (c *call) nested() bool {
	return c.madeBy == admission.MadeByServices || c.madeBy == admission.MadeByUnknown && c.head.GetNested()
}

// gateCall returns the properties of the call by which the gate decides.
func (c *call) gateCall() gate.Call {
	g := gate.Call{
		Customer:  c.head.GetCustomer(),
		Route:     c.head.GetRoute(),
		Nested:    c.nested(),
		Priority:  int(c.head.GetPriority()),
		Remaining: time.Until(c.deadline),
	}
	if g.Route != "" {
		// The service time depends on the route, and one account has too few calls for an estimate.
		g.Customer, g.Account = "", g.Customer
	}
	if c.h.opts.MergeRoutes {
		g.Route = ""
	}
	if g.Nested {
		// The calls that services make belong to no account.
		g.Account = ""
		return g
	}
	if g.Account != "" && c.h.opts.AccountWeight != nil {
		g.Weight = c.h.opts.AccountWeight(g.Account)
	}
	g.MaxWait = time.Duration(c.head.GetMaxQueueMs()) * time.Millisecond
	if left := time.Duration(c.head.GetObjectiveLeftMs()) * time.Millisecond; left > 0 && !c.h.opts.IgnoreObjective {
		g.ObjectiveLeft = max(left-time.Since(c.start), time.Millisecond)
	}
	return g
}

// runAdmitted runs a call that holds a slot.
func (c *call) runAdmitted(up *upload) (gate.Outcome, error) {
	if up.firstChunk != nil {
		if err := c.sendContinue(0); err != nil {
			return gate.NotStarted, err
		}
	}
	c.h.opts.CalleeStats.AddRun()
	run := c.h.opts.Runs.Begin(c.head.GetRequestId(), c.deadline)
	defer func() { run.End(time.Now()) }()
	c.instance.running.add(c)
	defer c.instance.running.remove(c)
	if !c.head.GetNonIdempotent() {
		return c.forward(up)
	}
	return c.forwardOnce(up)
}

// sendContinue requests the given number of bytes of the body, or all of it if bytes is 0.
func (c *call) sendContinue(bytes int) error {
	head := &peerpb.AnswerHead{Status: http.StatusContinue, ContinueBytes: uint32(bytes)}
	if c.h.opts.LinkPlacement && c.head.GetContentLength() > minReportedBody {
		// Until the answer, this is the sender's only information about the link.
		head.Load = c.load()
	}
	if err := c.st.Send(head); err != nil {
		return linkError(err)
	}
	return nil
}

// findServer finds the instance of the backend server beside this daemon, if it offers the
// service of the call and accepts calls. Once this daemon has confirmed to a server with an ID
// that it drains or has left, the server gets no more calls, even if other daemons do not know
// yet and still send calls here.
func (c *call) findServer() error {
	local := c.h.opts.Local.Load()
	if local == nil || local.Service != c.head.GetService() {
		return errkind.Newf(errkind.NoBackend, "no backend server of service %q is on this host", c.head.GetService())
	}
	if local.ID != "" && local.Draining {
		return errkind.Newf(errkind.Draining, "backend server %s is draining", local.ID)
	}
	if err := c.h.opts.Rollout.Check(); err != nil {
		return err
	}
	c.warmAt = local.WarmAt
	var err error
	c.instance, err = c.h.instances.forServer(local)
	return err
}

// onStreamLost cancels an idempotent call whose response can no longer be delivered.
func (c *call) onStreamLost() {
	if !c.head.GetNonIdempotent() {
		c.cancel()
	}
}

// reject sends an error in place of the backend server's response and returns it.
func (c *call) reject(err error) error {
	head := &peerpb.AnswerHead{
		ErrorKind:    string(errkind.Of(err)),
		ErrorText:    err.Error(),
		RetryAfterMs: uint32(errkind.RetryAfterOf(err).Milliseconds()),
		Load:         c.load(),
		Arrived:      c.arrived,
		MadeBy:       advice.MadeByToProto(c.madeBy),
		Callees:      advice.CalleesToProto(c.h.opts.CalleeStats.Rates()),
		ServerNotice: c.serverNotice(),
		ZoneLoads:    c.zoneLoads(false),
	}
	_ = c.st.SetWriteDeadline(time.Now().Add(rejectTimeout))
	if serr := c.st.Send(head); serr != nil {
		return errors.WithSecondaryError(err, serr)
	}
	return err
}

// load returns the load of the gate as a message, with the expected wait of a call like this one.
func (c *call) load() *peerpb.Load {
	l := c.h.instances.current.Load().gate.LoadFor(c.gateCall())
	if c.h.opts.LinkPlacement {
		l.LinkWait = c.h.pacer.expectedWait()
	}
	var routeTime time.Duration
	if c.instance != nil && c.h.opts.ReportRouteTimes {
		routeTime = c.instance.gate.RouteTime(c.gateCall())
	}
	return &peerpb.Load{
		InUse:         uint32(l.InUse),
		Queued:        uint32(l.Queued),
		Slots:         uint32(l.Slots),
		Draining:      l.Draining,
		ServiceTimeUs: uint32(l.ServiceTime.Microseconds()),
		WaitUs:        uint32(min(l.Wait.Microseconds(), math.MaxUint32)),
		LinkWaitUs:    uint32(min(l.LinkWait.Microseconds(), math.MaxUint32)),
		RateLimit:     l.RateLimit,
		RouteTimeUs:   uint32(min(routeTime.Microseconds(), math.MaxUint32)),
	}
}

// zoneLoads returns what this daemon knows of the load of the service by availability zone, nil if
// the sender has just got it. holdsSlot is whether the call still holds its slot.
func (c *call) zoneLoads(holdsSlot bool) []*peerpb.ZoneLoad {
	zones := c.h.opts.Zones
	if zones == nil || c.instance == nil {
		return nil
	}
	service := c.head.GetService()
	zones.ObserveLocal(service, c.h.Load(), holdsSlot)
	var loads []*peerpb.ZoneLoad
	for _, e := range zones.Report(service, c.head.GetSenderHost()) {
		loads = append(loads, &peerpb.ZoneLoad{
			AvailabilityZone: e.AvailabilityZone, Service: service,
			UsePermille: uint32(math.Round(e.Use * 1000)), AgeMs: uint32(e.Age.Milliseconds()),
		})
	}
	return loads
}
