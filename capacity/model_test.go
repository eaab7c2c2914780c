package capacity_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocuscross/crocuscross/admission"
	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/balance"
	"github.com/crocuscross/crocuscross/capacity"
	"github.com/crocuscross/crocuscross/gate"
)

// The model: daemons in several availability zones send the calls of several routes to backend
// servers behind their gates, with a virtual clock. The figures are those of load A in
// docs/load-management.md.
const (
	slotsPerServer = 9
	localHop       = 200 * time.Microsecond
	zoneHop        = 1100 * time.Microsecond
	headBytes      = 600
	// eagerBody is the largest body that is sent before the gate has admitted the call.
	eagerBody = 1 << 10
	// maxRefusals is the number of refusals after which a call is given up.
	maxRefusals = 3
	// oldKilobyteCost is requests.kilobyte_cost of the deployment.
	oldKilobyteCost = 0.1
	kilobyteTime    = 10 * time.Millisecond
	warmUp          = 2 * time.Second
)

// route describes the calls of one route. rate is in calls per second over all zones.
type route struct {
	name, service      string
	rate               float64
	work               time.Duration
	variation          float64
	objective, timeout time.Duration
	priority           int
	nested             bool
	body, response     float64
	// value and lateValue are what an answer within the objective and a later one are worth.
	value, lateValue float64
	// byZone is the demand by zone, as relative weights.
	byZone []float64
}

// sample returns the work of one call, with a log-normal distribution.
func (r route) sample(rng *rand.Rand) time.Duration {
	s2 := math.Log(1 + r.variation*r.variation)
	return time.Duration(float64(r.work) * math.Exp(rng.NormFloat64()*math.Sqrt(s2)-s2/2))
}

func (r route) request(now time.Time) admission.Request {
	return admission.Request{
		Nested: r.nested, Priority: r.priority, Objective: r.objective, FirstSent: now, Arrived: now, Deadline: now.Add(r.timeout),
	}
}

// pool describes the servers of a service: their number by zone and their speeds in turn.
type pool struct {
	service string
	byZone  []int
	speeds  []float64
}

// fault changes the model at run time. All fields are optional.
type fault struct {
	// demand is the factor of a route's demand in a zone at an age of the run.
	demand func(r route, zone int, age time.Duration) float64
	// hidesReports drops the load reports and zone loads of a zone's gates at an age.
	hidesReports func(zone int, age time.Duration) bool
	// falseLoad replaces the load that a server reports.
	falseLoad func(host string, l gate.Load) gate.Load
	// restartAt is the age at which every second daemon loses its state.
	restartAt time.Duration
	// cut reports whether a zone is cut off from the others at an age.
	cut func(zone int, age time.Duration) bool
}

type scenario struct {
	pools   []pool
	routes  []route
	daemons []int // by zone
	length  time.Duration
	seed    uint64
	fault
}

// result counts the calls of a route.
type result struct {
	offered, inTime, late, rejected int
	// attempts counts all attempts, left those to another zone, failed those that reached no host.
	attempts, left, failed int
	// bytes are those between zones.
	bytes float64
}

// model is one run of a scenario with the old or the new decision. The fields below mu are guarded by
// it.
type model struct {
	scenario
	spill   bool
	start   time.Time
	servers map[string][]*backend.Server
	hosts   map[string]*host
	daemons [][]*daemon // by zone

	mu sync.Mutex
	// results are by route, zoneResults by route and zone.
	results     map[string]*result
	zoneResults map[string]*result
	spills      map[capacity.Reason]int64
}

// resultIn returns the result of a route in a zone.
func (m *model) resultIn(route string, zone int) *result {
	key := route + " " + zoneName(zone)
	if m.zoneResults[key] == nil {
		m.zoneResults[key] = &result{}
	}
	return m.zoneResults[key]
}

// host is a host with a backend server. Its daemon also sends calls.
type host struct {
	*daemon
	gate  *gate.Gate
	speed float64
}

// daemon is one sender.
type daemon struct {
	name string
	zone int
	// state is replaced when the daemon restarts.
	state atomic.Pointer[state]
	mu    sync.Mutex
	// rng and the means by route are guarded by mu.
	rng          *rand.Rand
	times, sizes map[string]float64
}

// state is what a daemon knows of servers and zones. zones is nil with the old decision.
type state struct {
	picker *balance.Picker
	zones  *capacity.Zones
}

func zoneName(i int) string { return string(rune('a' + i)) }

func (m *model) newDaemon(name string, zone int) *daemon {
	d := &daemon{name: name, zone: zone, rng: rand.New(rand.NewPCG(m.seed, uint64(len(name))+uint64(zone)<<8))}
	for _, b := range []byte(name) {
		d.rng = rand.New(rand.NewPCG(d.rng.Uint64(), uint64(b)))
	}
	m.reset(d)
	return d
}

// reset gives the daemon the state of one that has just started.
func (m *model) reset(d *daemon) {
	o := balance.DefaultOptions()
	o.AvailabilityZone, o.DisableSlowEjection, o.SlowStart, o.ZoneCost = zoneName(d.zone), true, 0, 2*zoneHop
	o.Rand = func(n int) int {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.rng.IntN(n)
	}
	next := &state{}
	if m.spill {
		next.zones = capacity.New(capacity.Options{AvailabilityZone: zoneName(d.zone), Host: d.name, Now: time.Now})
		o.Zones = next.zones
	}
	next.picker = balance.New(o)
	d.state.Store(next)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.times, d.sizes = make(map[string]float64), make(map[string]float64)
}

// observe updates the means of a route after an answer.
func (d *daemon) observe(r route, latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for means, v := range map[*map[string]float64]float64{&d.times: float64(latency), &d.sizes: r.response} {
		if old, ok := (*means)[r.name]; ok {
			v = old + 0.1*(v-old)
		}
		(*means)[r.name] = v
	}
}

func (d *daemon) means(r route) (latency, size float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.times[r.name], d.sizes[r.name]
}

func (sc scenario) run(t *testing.T, spill bool) *model {
	t.Helper()
	m := &model{
		scenario: sc, spill: spill, servers: make(map[string][]*backend.Server), hosts: make(map[string]*host),
		results: make(map[string]*result), zoneResults: make(map[string]*result), spills: make(map[capacity.Reason]int64),
	}
	synctest.Test(t, func(*testing.T) {
		m.start = time.Now()
		m.setUp()
		var calls sync.WaitGroup
		for _, r := range sc.routes {
			m.results[r.name] = &result{}
			for zone := range sc.daemons {
				calls.Go(func() { m.offer(r, zone, &calls) })
			}
		}
		if sc.restartAt > 0 {
			time.AfterFunc(sc.restartAt, m.restartHalf)
		}
		calls.Wait()
	})
	for _, senders := range m.daemons {
		for _, d := range senders {
			if spill {
				for reason, n := range d.state.Load().zones.Stats().Spills {
					m.spills[reason] += n
				}
			}
		}
	}
	return m
}

func (m *model) age() time.Duration { return time.Since(m.start) }

func (m *model) setUp() {
	m.daemons = make([][]*daemon, len(m.scenario.daemons))
	for _, p := range m.pools {
		n := 0
		for zone, count := range p.byZone {
			for range count {
				name := fmt.Sprintf("%s-%02d", p.service, n)
				o := gate.DefaultOptions()
				o.Slots, o.FixedSlots = slotsPerServer, true
				h := &host{daemon: m.newDaemon(name, zone), gate: gate.New(o), speed: p.speeds[n%len(p.speeds)]}
				m.hosts[name] = h
				m.daemons[zone] = append(m.daemons[zone], h.daemon)
				m.servers[p.service] = append(m.servers[p.service], &backend.Server{
					ID: backend.ID{Host: name, Service: p.service}, AvailabilityZone: zoneName(zone), Slots: slotsPerServer, FirstSeen: m.start.Add(-time.Hour),
				})
				n++
			}
		}
	}
	for zone, count := range m.scenario.daemons {
		for i := len(m.daemons[zone]); i < count; i++ {
			m.daemons[zone] = append(m.daemons[zone], m.newDaemon(fmt.Sprintf("%d-%d", zone, i), zone))
		}
	}
}

func (m *model) restartHalf() {
	for _, senders := range m.daemons {
		for i, d := range senders {
			if i%2 == 0 {
				m.reset(d)
			}
		}
	}
}

// value returns the value of the answers as a share of that of all calls.
func (m *model) value() float64 {
	sum, total := 0.0, 0.0
	for _, r := range m.routes {
		x := m.results[r.name]
		sum += r.value*float64(x.inTime) + r.lateValue*float64(x.late)
		total += r.value * float64(x.offered)
	}
	return sum / total
}

func (m *model) bytes() float64 {
	sum := 0.0
	for _, x := range m.results {
		sum += x.bytes
	}
	return sum
}

func (m *model) log(t *testing.T, name string) {
	t.Helper()
	var b strings.Builder
	for _, r := range m.routes {
		x := m.results[r.name]
		n := float64(x.offered)
		fmt.Fprintf(&b, "\n  %-10s offered %6d in time %.3f late %.3f rejected %.3f attempts %.2f left %.3f bytes %.1f MB",
			r.name, x.offered, float64(x.inTime)/n, float64(x.late)/n, float64(x.rejected)/n, float64(x.attempts)/n, float64(x.left)/float64(x.attempts), x.bytes/1e6)
		for zone := range m.daemons {
			x := m.resultIn(r.name, zone)
			fmt.Fprintf(&b, " | %s %.2f (%.2f left)", zoneName(zone), float64(x.inTime)/float64(x.offered), float64(x.left)/float64(x.attempts))
		}
	}
	t.Logf("%s: value %.3f, bytes between zones %.2f MB, spills %v%s", name, m.value(), m.bytes()/1e6, m.spills, b.String())
}
