package capacity_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/crocuscross/crocuscross/admission"
	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/balance"
	"github.com/crocuscross/crocuscross/capacity"
	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/gate"
)

// offer sends the calls of a route from a zone. Nested calls are sent by the hosts of their parents.
func (m *model) offer(r route, zone int, calls *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(m.seed, uint64(zone)<<8+uint64(len(r.name))))
	total := 0.0
	for _, w := range r.byZone {
		total += w
	}
	senders := m.daemons[zone]
	for m.age() < m.length+warmUp {
		rate := r.rate * r.byZone[zone] / total
		if m.demand != nil {
			rate *= m.demand(r, zone, m.age())
		}
		time.Sleep(time.Duration(rng.ExpFloat64() / max(rate, 0.1) * float64(time.Second)))
		d, work := senders[rng.IntN(len(senders))], r.sample(rng)
		calls.Go(func() { m.call(d, r, work) })
	}
}

// call makes attempts as package outbound does: until a server answers or a refusal ends the call.
func (m *model) call(d *daemon, r route, work time.Duration) {
	start, counted := time.Now(), m.age() > warmUp
	q := r.request(start)
	var tried []string
	var res result
	res.offered = 1
	refusals, fullWait, answered := 0, false, false
	for refusals < maxRefusals && time.Since(start) < r.timeout {
		lease := m.pick(d, r, q, &tried, refusals, &fullWait)
		if lease == nil {
			break
		}
		tried = append(tried, lease.Server().ID.Host)
		res.attempts++
		maxWait := q.MaxWait(admission.AttemptHistory{Refusals: refusals, FullWait: fullWait, RemoteCost: remoteCost(d, r)}, time.Now())
		var ran bool
		if answered, ran = m.attempt(d, lease, r, q, maxWait, work, &res); answered || ran {
			break
		}
		refusals++
	}
	if !counted {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch elapsed := time.Since(start); {
	case answered && elapsed <= r.objective:
		res.inTime = 1
	case answered && elapsed <= r.timeout:
		res.late = 1
	default:
		res.rejected = 1
	}
	m.results[r.name].add(res)
	m.resultIn(r.name, d.zone).add(res)
}

func (r *result) add(o result) {
	r.offered += o.offered
	r.inTime += o.inTime
	r.late += o.late
	r.rejected += o.rejected
	r.attempts += o.attempts
	r.left += o.left
	r.failed += o.failed
	r.bytes += o.bytes
}

// share returns the share of the calls that were answered within their objective.
func (r *result) share() float64 { return float64(r.inTime) / float64(r.offered) }

// leftShare returns the share of the attempts that left their zone.
func (r *result) leftShare() float64 { return float64(r.left) / float64(r.attempts) }

func remoteCost(d *daemon, r route) time.Duration {
	_, size := d.means(r)
	return time.Duration((r.body + size) / 1000 * r.objective.Seconds() * oldKilobyteCost * float64(time.Second))
}

// pick picks a server as package outbound does.
func (m *model) pick(d *daemon, r route, q admission.Request, tried *[]string, refusals int, fullWait *bool) *balance.Lease {
	latency, size := d.means(r)
	opts := balance.PickOptions{
		Exclude:    func(id backend.ID) bool { return slices.Contains(*tried, id.Host) },
		RemoteCost: remoteCost(d, r), Objective: r.objective,
		Spill: capacity.Call{ServiceTime: time.Duration(latency), Bytes: r.body + size + headBytes, KilobyteTime: kilobyteTime,
			Refused: refusals > 0, Final: *fullWait || refusals >= maxRefusals-1},
	}
	for {
		history := admission.AttemptHistory{Refusals: refusals, FullWait: *fullWait, RemoteCost: opts.RemoteCost}
		opts.MaxWait = q.MaxWait(history, time.Now())
		lease, err := d.state.Load().picker.PickWithOptions(m.servers[r.service], opts)
		if err == nil {
			return lease
		}
		if *fullWait {
			return nil
		}
		*fullWait, *tried, opts.Spill.Final = true, nil, true
	}
}

// attempt makes one attempt. It returns whether the call was answered, and whether it ran.
func (m *model) attempt(d *daemon, lease *balance.Lease, r route, q admission.Request, maxWait, work time.Duration, res *result) (answered, ran bool) {
	s, start := lease.Server(), time.Now()
	h, hop, remote := m.hosts[s.Host], localHop, 0.0
	if h.zone != d.zone {
		hop, remote = zoneHop, 1
		res.left++
	}
	if remote == 1 && m.cut != nil && (m.cut(h.zone, m.age()) || m.cut(d.zone, m.age())) {
		time.Sleep(50 * time.Millisecond)
		res.failed++
		if m.spill {
			d.state.Load().zones.ObserveFailure(capacity.Gate{Service: r.service, AvailabilityZone: s.AvailabilityZone, Host: s.Host})
		}
		lease.Done(balance.Result{Kind: errkind.Unreachable, Latency: time.Since(start)})
		return false, false
	}
	res.bytes += remote * headBytes / 2
	if r.body <= eagerBody || lease.HasFreeSlot() {
		res.bytes += remote * r.body
	}
	time.Sleep(hop)
	call := gate.Call{
		Route: r.name, Nested: r.nested, Priority: q.Rank(), Remaining: time.Until(q.Deadline), MaxWait: maxWait, ObjectiveLeft: q.ObjectiveLeft(time.Now()),
	}
	ticket, err := h.gate.Admit(context.Background(), call)
	out := balance.Result{Status: 200}
	if err != nil {
		out.Kind = errkind.Of(err)
	} else {
		if r.body > eagerBody && !lease.HasFreeSlot() {
			res.bytes += remote * r.body
		}
		time.Sleep(min(time.Duration(float64(work)/h.speed), time.Until(q.Deadline)))
		answered, ran = time.Now().Before(q.Deadline), true
	}
	load := h.gate.Load()
	if m.falseLoad != nil {
		load = m.falseLoad(s.Host, load)
	}
	var entries []capacity.Entry
	if m.spill {
		zones := h.state.Load().zones
		zones.ObserveLocal(r.service, load, ran)
		entries = zones.Report(r.service, d.name)
	}
	if ran {
		ticket.Done(gate.Answered)
		res.bytes += remote * r.response
	}
	res.bytes += remote * (headBytes/2 + 40*float64(len(entries)))
	time.Sleep(hop)
	out.Latency, out.Load = time.Since(start), &load
	if m.hidesReports != nil && m.hidesReports(h.zone, m.age()) {
		out.Load, entries = nil, nil
	}
	if m.spill {
		d.learn(r.service, s, out.Load, ran, entries)
	}
	if answered {
		d.observe(r, lease.WithoutHop(out.Latency))
	}
	lease.Done(out)
	return answered, ran
}

func (d *daemon) learn(service string, s *backend.Server, l *gate.Load, answered bool, entries []capacity.Entry) {
	if l != nil {
		d.state.Load().zones.Observe(capacity.Gate{Service: service, AvailabilityZone: s.AvailabilityZone, Host: s.Host}, *l, answered)
	}
	for _, e := range entries {
		d.state.Load().zones.Learn(service, s.Host, e)
	}
}
