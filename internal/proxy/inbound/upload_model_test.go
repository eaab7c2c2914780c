package inbound

import (
	"context"
	"slices"
	"time"

	"github.com/crocuscross/crocuscross/admission"
	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/balance"
	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/gate"
)

// uploadCall is one upload.
type uploadCall struct {
	p      *placement
	sender *uploader
	length int
	work   float64

	request  admission.Request
	refusals int
	fullWait bool
	tried    []backend.ID
	bytesOut int
}

func (c *uploadCall) run(ctx context.Context) {
	now := time.Now()
	c.request = admission.Request{Objective: uploadObjective, FirstSent: now, Arrived: now, Deadline: now.Add(uploadTimeout)}
	ctx, cancel := context.WithDeadline(ctx, c.request.Deadline)
	defer cancel()
	var err error
	for {
		var lease *balance.Lease
		if lease, err = c.pick(); err != nil {
			break
		}
		err = c.attempt(ctx, lease)
		if err == nil || errkind.RunOf(err) != errkind.NotRun || ctx.Err() != nil {
			break
		}
		if c.refusals++; c.refusals > 5 {
			break
		}
	}
	c.count(err, time.Since(now), now)
}

func (c *uploadCall) count(err error, took time.Duration, at time.Time) {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	if at.Sub(c.p.start) < modelWarmUp {
		return
	}
	z := placementCount{calls: 1, bytesOut: c.bytesOut}
	switch {
	case err != nil:
		z.rejected = 1
		c.p.reason[string(errkind.Of(err))]++
	case took > uploadObjective:
		z.late = 1
	default:
		z.inTime = 1
	}
	c.p.zones[c.sender.zone].add(z)
}

func (c *uploadCall) maxWait() time.Duration {
	return c.request.MaxWait(admission.AttemptHistory{Refusals: c.refusals, FullWait: c.fullWait, RemoteCost: remoteCost}, time.Now())
}

// pick picks a server as package outbound does.
func (c *uploadCall) pick() (*balance.Lease, error) {
	opts := balance.PickOptions{
		Exclude:    func(id backend.ID) bool { return slices.Contains(c.tried, id) },
		RemoteCost: remoteCost, Objective: uploadObjective, BodyBytes: int64(c.length), TimeLeft: c.request.ObjectiveLeft(time.Now()),
	}
	if c.sender.old {
		opts.MaxWait = c.maxWait()
	}
	lease, err := c.sender.picker.PickWithOptions(c.p.servers, opts)
	if err != nil && !c.fullWait && (c.sender.old || errkind.Of(err) != errkind.Overloaded) {
		c.fullWait, c.tried = true, nil
		lease, err = c.sender.picker.PickWithOptions(c.p.servers, opts)
	}
	if err != nil {
		return nil, err
	}
	c.tried = append(c.tried, lease.Server().ID)
	return lease, nil
}

// attempt sends the upload to the server of the lease.
func (c *uploadCall) attempt(ctx context.Context, lease *balance.Lease) error {
	begun := time.Now()
	v, hop := c.p.vaultOf(lease.Server()), localHop
	remote := lease.Server().AvailabilityZone != zoneName(c.sender.zone)
	if remote {
		hop = modelHop
		c.bytesOut += 600
	}
	if v.unreachable != nil && v.unreachable(time.Since(c.p.start)) {
		time.Sleep(50 * time.Millisecond)
		lease.Done(balance.Result{Kind: errkind.Unreachable})
		return errkind.New(errkind.Unreachable, "unreachable")
	}
	g := gate.Call{Route: "upload", Remaining: time.Until(c.request.Deadline), ObjectiveLeft: c.request.ObjectiveLeft(begun), MaxWait: lease.MaxWait()}
	if g.MaxWait == 0 {
		g.MaxWait = c.maxWait()
	}
	time.Sleep(hop)
	err := c.serve(ctx, v, lease, g, remote)
	load := v.load(c.p.places && !v.old)
	time.Sleep(hop)
	v.waitWhilePaused(c.sender.host, v.senderPauses)
	result := balance.Result{Kind: errkind.Of(err), Latency: time.Since(begun), Load: &load}
	if err == nil {
		result.Status = 200
	}
	lease.Done(result)
	return err
}

func (p *placement) vaultOf(s *backend.Server) *vault {
	for i := range p.servers {
		if p.servers[i].ID == s.ID {
			return p.vaults[i]
		}
	}
	return nil
}

// load returns the load that the gate reports.
func (v *vault) load(withLink bool) gate.Load {
	l := v.gate.Load()
	if withLink {
		l.LinkWait = v.pacer.expectedWait()
	}
	if v.falseLoad != nil {
		l = v.falseLoad(l)
	}
	return l
}

// serve handles the upload as the daemon beside the server does.
func (c *uploadCall) serve(ctx context.Context, v *vault, lease *balance.Lease, g gate.Call, remote bool) error {
	v.waitWhilePaused(v.host, v.hostPauses)
	arrived := time.Now()
	if err := v.gate.Check(g); err != nil {
		return err
	}
	if err := v.pacer.checkWait(g.MaxWait); err != nil {
		return err
	}
	bodyCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	tr := v.transport(bodyCtx, c.sender.host, c.length, false)
	request := tr.request
	tr.request = func(n int) error {
		if c.p.places && !v.old {
			load := v.load(true)
			time.AfterFunc(modelHop, func() { lease.Report(&load) })
		}
		return request(n)
	}
	if err := v.pacer.receive(ctx, make([]byte, c.length), tr); err != nil {
		return errkind.Wrap(errkind.DeadlineNotRun, err, "receive the body")
	}
	if remote {
		c.bytesOut += c.length
	}
	if g.ObjectiveLeft > 0 {
		g.ObjectiveLeft = max(g.ObjectiveLeft-time.Since(arrived), time.Millisecond)
	}
	g.Remaining = time.Until(c.request.Deadline)
	ticket, err := v.gate.Admit(ctx, g)
	if err != nil {
		return err
	}
	defer ticket.Done(gate.Answered)
	work := time.Duration(c.work / v.speed)
	if left := time.Until(c.request.Deadline); work > left {
		time.Sleep(left)
		return errkind.New(errkind.Deadline, "deadline")
	}
	time.Sleep(work)
	v.waitWhilePaused(v.host, v.hostPauses)
	return nil
}
