package quota

import (
	"container/heap"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/quota/quotapb"
	"github.com/crocuscross/crocuscross/snapshot"
)

// world simulates a fleet of Managers in virtual time, one event after another, with a fake
// network between them. The same seed produces the same run.
type world struct {
	base    time.Time
	now     time.Duration
	events  eventQueue
	seq     int
	rng     *rand.Rand
	daemons []*daemon
	cut     func(a, b *daemon) bool
	byHost  map[string]*daemon
	// tolerance is that of all Managers.
	tolerance Tolerance
	members   []*membership.Member
	// messages counts the requests sent by all daemons.
	messages int
	bytes    int
	// waits counts calls that waited for an owner.
	waits int
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// daemon is one process with its Manager.
type daemon struct {
	w       *world
	index   int
	host    string
	zone    int
	region  int
	boot    uint64
	m       *Manager
	dead    bool
	paused  bool
	backlog []func()
	// view is this daemon's view of each member.
	view    []*membership.Member
	waiting []*waitingCall
	sent    int
	// recoveries counts how often another daemon became alive again. The suspicions before that no
	// longer apply.
	recoveries map[*daemon]int
	// heardAt is when the daemon last heard another one, and declaredDeadAt when another one last told
	// it that it was held for dead.
	heardAt, declaredDeadAt time.Duration
	// offset is the configuration offset in force.
	offset uint64
	// cuts is the number of cuts from all others in progress.
	cuts int
	// lost is set while the process has not found the others since it started.
	lost bool
}

type waitingCall struct {
	a       *account
	c       *snapshot.Contract
	pending *pendingClaim
	tries   int
	// waited is set once the call has waited, ended once it has been admitted or refused.
	waited, ended bool
	deadline      time.Duration
	done          func(admitted bool)
}

const (
	zonesPerRegion = 3
	zoneHop        = 500 * time.Microsecond
	regionHop      = 10 * time.Millisecond
	callTime       = 20 * time.Millisecond
)

func newWorld(zones, perZone int, contracts ...*snapshot.Contract) *world {
	return newTolerantWorld(Tolerance{}, zones, perZone, contracts...)
}

func newTolerantWorld(tolerance Tolerance, zones, perZone int, contracts ...*snapshot.Contract) *world {
	w := &world{
		tolerance: tolerance,

		base: time.Unix(1_000_000, 0),
		rng:  rand.New(rand.NewPCG(1, 2)),
		cut:  func(a, b *daemon) bool { return false },

		byHost: map[string]*daemon{},
	}
	for i := range zones * perZone {
		zone := i / perZone
		d := &daemon{w: w, index: i, host: fmt.Sprintf("h%03d", i), zone: zone, region: zone / zonesPerRegion, boot: uint64(i + 1)}
		w.daemons = append(w.daemons, d)
		w.byHost[d.host] = d
	}
	for _, d := range w.daemons {
		w.boot(d, contractMap(contracts))
	}
	return w
}

func contractMap(list []*snapshot.Contract) map[string]*snapshot.Contract {
	m := map[string]*snapshot.Contract{}
	for _, c := range list {
		m[c.Customer] = c
	}
	return m
}

// boot starts a new process on a host. Its initial view is the actual state of the fleet.
func (w *world) boot(d *daemon, contracts map[string]*snapshot.Contract) {
	d.dead, d.paused = false, false
	d.backlog, d.waiting = nil, nil
	d.heardAt, d.declaredDeadAt = w.now, 0
	d.m = New(Options{Host: d.host, Tolerance: w.tolerance, Standing: d.standing, Now: func() time.Time { return w.base.Add(w.now) }})
	d.view = w.actualMembers()
	d.publish()
	d.m.SetContracts(contracts, d.offset)
	m := d.m
	offset := time.Duration(w.rng.Int64N(int64(tickInterval)))
	w.after(offset, func() { d.tick(m) })
}

// actualMembers returns the actual state of all members. Daemons share the member values until
// their views differ.
func (w *world) actualMembers() []*membership.Member {
	if w.members == nil {
		for _, o := range w.daemons {
			w.members = append(w.members, o.member(membership.Alive))
		}
	}
	view := slices.Clone(w.members)
	for i, o := range w.daemons {
		if o.dead {
			view[i] = o.member(membership.Dead)
		} else if view[i].Boot != o.boot || view[i].Offset != o.offset {
			view[i] = o.member(membership.Alive)
		}
	}
	return view
}

func (d *daemon) member(l membership.Liveness) *membership.Member {
	return &membership.Member{
		Host: d.host, Boot: d.boot, Liveness: l, Since: d.w.base.Add(d.w.now), Offset: d.offset,
		AvailabilityZone: fmt.Sprint("z", d.zone), Region: fmt.Sprint("r", d.region),
	}
}

func (d *daemon) publish() {
	if d.lost {
		self := d.view[d.index]
		d.m.SetView(&membership.View{Self: self, Members: []*membership.Member{self}, Missing: len(d.view) - 1})
		return
	}
	d.m.SetView(&membership.View{Self: d.view[d.index], Members: slices.Clone(d.view)})
}

// setLiveness changes this daemon's view of another daemon after a delay.
func (d *daemon) setLiveness(o *daemon, l membership.Liveness, after time.Duration) {
	w, m := d.w, d.m
	if d.recoveries == nil {
		d.recoveries = map[*daemon]int{}
	}
	if l == membership.Alive {
		d.recoveries[o]++
	}
	recoveries := d.recoveries[o]
	w.after(after, func() {
		if d.m != m || d.dead || o == d || d.recoveries[o] != recoveries {
			return
		}
		d.execute(func() {
			if d.view[o.index].Liveness == l && d.view[o.index].Boot == o.boot {
				return
			}
			d.view[o.index] = o.member(l)
			d.publish()
		})
	})
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + d, w.seq, run})
}

func (w *world) runUntil(end time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// execute runs an event in the process: later if the process is paused, never if it is dead.
func (d *daemon) execute(run func()) {
	switch {
	case d.dead:
	case d.paused:
		d.backlog = append(d.backlog, run)
	default:
		run()
	}
}

func (d *daemon) tick(m *Manager) {
	if d.m != m || d.dead {
		return
	}
	if !d.paused {
		d.step()
	}
	d.w.after(tickInterval, func() { d.tick(m) })
}

// step lets the Manager do the work that is due.
func (d *daemon) step() {
	for _, q := range d.m.step(d.m.now()) {
		d.send(q)
	}
	d.retryWaiting()
}

func (w *world) hop(a, b *daemon) time.Duration {
	if a.region != b.region {
		return regionHop
	}
	return zoneHop
}

// send simulates one exchange over the network. The sender gives up after requestTimeout; a
// late answer is dropped, a late request is served.
func (d *daemon) send(q *exchange) {
	w, m := d.w, d.m
	w.messages++
	w.bytes += proto.Size(q.request)
	d.sent++
	open := true
	finish := func(answer *quotapb.Answer, err error) {
		if !open || d.m != m {
			return
		}
		open = false
		d.execute(func() {
			m.holder.finish(q, answer, err, m.now())
			d.step()
		})
	}
	w.after(requestTimeout, func() { finish(nil, context.DeadlineExceeded) })
	o := w.find(q.owner.Host)
	hop := w.hop(d, o)
	w.after(hop, func() {
		if w.isCut(d, o) || o.boot != q.owner.Boot {
			return
		}
		o.execute(func() {
			answer := o.m.Serve(q.request)
			w.bytes += proto.Size(answer)
			w.after(hop, func() {
				if !w.isCut(o, d) {
					finish(answer, nil)
				}
			})
		})
	})
}

func (w *world) find(host string) *daemon {
	return w.byHost[host]
}

// call is AdmitWait in virtual time.
func (d *daemon) call(c *snapshot.Contract, done func(admitted bool)) {
	if d.dead || d.paused {
		done(false)
		return
	}
	a, now := d.m.account(c), d.m.now()
	a.arrivals.Add(1)
	err := d.m.tryAdmit(a, now, c)
	if err == nil {
		d.run(a, done)
		d.step()
		return
	}
	d.wait(&waitingCall{a: a, c: c, deadline: now + admitWait, done: done}, now, err)
	d.step()
}

// run keeps an admitted call in flight for callTime.
func (d *daemon) run(a *account, done func(admitted bool)) {
	done(true)
	d.w.after(callTime, func() { a.grant.Done() })
}

func (d *daemon) wait(call *waitingCall, now time.Duration, err *errkind.Error) {
	claim, at := call.a.nextTry(now, call.tries, call.pending != nil, err)
	if at >= call.deadline && call.pending == nil && !claim {
		d.m.refusal(call.a, now, err)
		call.end(false)
		return
	}
	if !call.waited {
		call.waited = true
		d.w.waits++
	}
	if claim {
		call.tries++
		call.pending = d.m.joinClaim(call.a)
	}
	m := d.m
	d.w.after(min(at, call.deadline)-now, func() {
		d.execute(func() {
			if d.m == m && !call.ended {
				d.retry(call, m.now())
				d.step()
			}
		})
	})
	d.waiting = append(d.waiting, call)
}

func (c *waitingCall) end(admitted bool) {
	c.ended = true
	c.done(admitted)
}

// retry looks for a token again for a call that has waited.
func (d *daemon) retry(call *waitingCall, now time.Duration) {
	d.waiting = slices.DeleteFunc(d.waiting, func(c *waitingCall) bool { return c == call })
	err := d.m.tryAdmit(call.a, now, call.c)
	switch {
	case err == nil:
		call.ended = true
		d.run(call.a, call.done)
	case now >= call.deadline:
		call.end(false)
	default:
		d.wait(call, now, err)
	}
}

// retryWaiting retries the waiting calls whose claim has been answered.
func (d *daemon) retryWaiting() {
	again := false
	for _, call := range slices.Clone(d.waiting) {
		if call.pending != nil && call.pending.answered() {
			call.pending = nil
			d.retry(call, d.m.now())
			again = true
		}
	}
	if again {
		d.step()
	}
}

// Faults. When and how the views of the other daemons change follows the defaults of package
// membership: a silent member is suspect after about 2 s and dead 4 s later; if a whole zone or
// region is silent, its members stay suspect.

func (w *world) kill(d *daemon) {
	d.dead = true
	for _, o := range w.daemons {
		o.setLiveness(d, membership.Suspect, w.within(time.Second, 3*time.Second))
		o.setLiveness(d, membership.Dead, w.within(6*time.Second, 8*time.Second))
	}
}

func (w *world) restart(d *daemon, contracts ...*snapshot.Contract) {
	d.boot += 1000
	w.boot(d, contractMap(contracts))
	for _, o := range w.daemons {
		o.setLiveness(d, membership.Alive, w.within(200*time.Millisecond, 2*time.Second))
	}
}

func (w *world) pause(d *daemon) {
	d.paused = true
	for _, o := range w.daemons {
		o.setLiveness(d, membership.Suspect, w.within(time.Second, 3*time.Second))
		o.setLiveness(d, membership.Dead, w.within(6*time.Second, 8*time.Second))
	}
}

// resume runs the events that have accumulated during the pause, in order.
func (w *world) resume(d *daemon) {
	d.paused = false
	w.refute(d)
	backlog := d.backlog
	d.backlog = nil
	for _, run := range backlog {
		run()
	}
	d.step()
	for _, o := range w.daemons {
		o.setLiveness(d, membership.Alive, w.within(500*time.Millisecond, 2*time.Second))
	}
}

// partition separates the daemons for which side returns true from the others.
func (w *world) partition(side func(*daemon) bool) {
	w.cut = func(a, b *daemon) bool { return side(a) != side(b) }
	for _, d := range w.daemons {
		for _, o := range w.daemons {
			if side(d) != side(o) {
				d.setLiveness(o, membership.Suspect, w.within(time.Second, 4*time.Second))
			}
		}
	}
}

func (w *world) heal() {
	w.cut = func(a, b *daemon) bool { return false }
	for _, d := range w.daemons {
		w.refute(d)
		for _, o := range w.daemons {
			if !o.dead {
				d.setLiveness(o, membership.Alive, w.within(500*time.Millisecond, 2*time.Second))
			}
		}
	}
}

// standing is what membership would know of how the others see this daemon.
func (d *daemon) standing() membership.Standing {
	if slices.ContainsFunc(d.w.daemons, func(o *daemon) bool { return o != d && !o.dead && !o.paused && !d.w.isCut(o, d) }) {
		d.heardAt = d.w.now
	}
	s := membership.Standing{HeardAt: d.w.base.Add(d.heardAt)}
	if d.declaredDeadAt > 0 {
		s.DeclaredDeadAt = d.w.base.Add(d.declaredDeadAt)
	}
	return s
}

// restartCutOff cuts off single daemons as cutOff does, and restarts each of them after a time of its own. A
// restarted daemon knows from the platform's directory that there are others, and finds them after the cut.
func (w *world) restartCutOff(length time.Duration, contracts func() []*snapshot.Contract, away ...*daemon) {
	w.cutOff(length, away...)
	for _, d := range away {
		w.after(w.within(0, length/2), func() {
			d.boot += 1000
			d.lost = true
			w.boot(d, contractMap(contracts()))
		})
		w.after(length+w.within(50*time.Millisecond, 500*time.Millisecond), func() {
			if !d.dead {
				d.lost = false
				d.view = w.actualMembers()
				d.publish()
			}
		})
	}
}

// isCut reports whether nothing that a sends reaches b.
func (w *world) isCut(a, b *daemon) bool { return a.cuts > 0 || b.cuts > 0 || w.cut(a, b) }

// refute tells a daemon that others hold it for dead. Only then does it refute that.
func (w *world) refute(d *daemon) {
	for _, o := range w.daemons {
		if o != d && !o.dead && !w.isCut(o, d) && o.view[d.index].Liveness == membership.Dead && o.view[d.index].Boot == d.boot {
			d.declaredDeadAt = w.now
		}
	}
}

// cutOff separates single daemons from all others and from each other, for a time. Nothing changes in
// the views of these daemons: who hears from nobody suspects nobody.
func (w *world) cutOff(length time.Duration, away ...*daemon) {
	for _, d := range away {
		d.cuts++
		for _, o := range w.daemons {
			if !slices.Contains(away, o) {
				o.setLiveness(d, membership.Suspect, w.within(time.Second, 2*time.Second))
				o.setLiveness(d, membership.Dead, w.within(5*time.Second, 6*time.Second))
			}
		}
	}
	w.after(length, func() {
		for _, d := range away {
			d.cuts--
		}
		for _, d := range away {
			w.refute(d)
			for _, o := range w.daemons {
				o.setLiveness(d, membership.Alive, w.within(50*time.Millisecond, 500*time.Millisecond))
			}
		}
	})
}

func (w *world) within(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(w.rng.Int64N(int64(hi-lo)))
}

// admissibleRate returns the rate, in calls per second, at which all daemons together could
// admit: the rates that holders use and the rates that fill the owners' pools. A paused process
// counts, since it may resume.
func (w *world) admissibleRate(c *snapshot.Contract) float64 {
	sum := 0.0
	for _, d := range w.daemons {
		if d.dead {
			continue
		}
		now := d.m.now()
		if a := d.m.account(c); a.lease.Load().valid(now) && a.lease.Load().local {
			sum += a.lease.Load().rate
		}
		f := d.m.fleet.Load()
		if l := d.m.owner.ledgers[c.Customer]; l != nil && !d.paused && f.selfOwns(c.Customer) {
			sum += l.poolRate(now, f)
		}
	}
	return sum
}

// arrival is one call at one daemon.
type arrival struct {
	at     time.Duration
	daemon int
}

// arrivals draws calls from a Poisson process. rate returns the rate at a daemon and time, in
// calls per second.
func arrivals(seed uint64, daemons int, until time.Duration, rate func(daemon int, at time.Duration) float64) []arrival {
	const step = 100 * time.Millisecond
	rng := rand.New(rand.NewPCG(seed, 1))
	var list []arrival
	for i := range daemons {
		for at := time.Duration(0); at < until; at += step {
			for range poisson(rng, rate(i, at)*step.Seconds()) {
				list = append(list, arrival{at + time.Duration(rng.Int64N(int64(step))), i})
			}
		}
	}
	slices.SortFunc(list, func(a, b arrival) int {
		if a.at != b.at {
			return int(a.at - b.at)
		}
		return a.daemon - b.daemon
	})
	return list
}

// feed schedules the arrivals, with times relative to now.
func (w *world) feed(list []arrival, call func(arrival)) {
	start := w.now
	var next func(i int)
	next = func(i int) {
		if i < len(list) {
			w.at(start+list[i].at, func() {
				call(list[i])
				next(i + 1)
			})
		}
	}
	next(0)
}

func poisson(rng *rand.Rand, mean float64) int {
	n, p, limit := 0, rng.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= rng.Float64()
	}
	return n
}

// drain lets all daemons know within 600 ms that one drains, so that it owns no customer any more.
func (w *world) drain(d *daemon) {
	w.drainAfter(d, func(*daemon) time.Duration { return w.within(50*time.Millisecond, 600*time.Millisecond) })
}

// drainAfter lets each daemon know after a time of its own that one drains.
func (w *world) drainAfter(d *daemon, after func(o *daemon) time.Duration) {
	for _, o := range w.daemons {
		w.after(after(o), func() {
			o.execute(func() {
				m := *o.view[d.index]
				m.Draining = true
				o.view[d.index] = &m
				o.publish()
			})
		})
	}
}
