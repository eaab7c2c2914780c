// Package capacity decides whether a call leaves its availability zone. Zones holds how full the
// gates of each service are in each zone, as the gates report with their answers. The decision
// compares the slot time that a call saves by leaving with what its bytes between zones cost. The
// package does no I/O; the clock is injected.
package capacity

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocuscross/crocuscross/gate"
)

const (
	// reportHalfLife is the age at which a report has lost half of its weight. Queues build up and
	// empty within a few service times, some 100 to 500 ms.
	reportHalfLife = 500 * time.Millisecond
	// reportTTL is the age at which a report is dropped. A zone without reports is unknown.
	reportTTL = 2 * time.Second
	// viewTTL is the age at which the uses of a service are computed again, which costs more than a
	// pick. Slots turn over more slowly than that.
	viewTTL = 20 * time.Millisecond
	// maxUse bounds a reported use, so that a gate that reports a false load has a limited effect.
	// At that use the pressure has reached its maximum.
	maxUse = 3
	// minReportsForMean is the number of reports from which a mean without the highest and the
	// lowest is used. With fewer, the median is less affected by one false report.
	minReportsForMean = 5
	// maxZones bounds the zones of a service, since other daemons name them.
	maxZones = 32
	// maxReporters bounds the reporting hosts per service and zone.
	maxReporters = 1024
)

// Options configures Zones.
type Options struct {
	// AvailabilityZone and Host are the location of this daemon.
	AvailabilityZone string
	Host             string
	// Now returns the time of a monotonic clock.
	Now func() time.Time
}

// Zones holds the use of the gates of each service by availability zone, as known to this daemon.
// It is safe for concurrent use.
type Zones struct {
	opts   Options
	spills [reasonCount]atomic.Int64

	mu       sync.Mutex
	services map[string]*service
	// reportedAt is when the latest report was made for each receiver.
	reportedAt map[string]time.Time
	prunedAt   time.Time
}

// service holds the reports about one service.
type service struct {
	// zones holds the reports by zone. Its keys are bounded by maxZones.
	zones map[string]*zone
	view  atomic.Pointer[View]
}

// zone holds the reports about a service's gates in one zone, by host: observed holds what gates
// reported about themselves with answers to this daemon, learned what other daemons passed on.
type zone struct {
	observed, learned map[string]report
}

// report is a moving mean of the use that one host reported.
type report struct {
	sum, weight float64
	at          time.Time
}

// add adds a use to the moving mean.
func (r report) add(use float64, at time.Time) report {
	w := weightAt(at.Sub(r.at))
	return report{sum: r.sum*w + use, weight: r.weight*w + 1, at: at}
}

func (r report) mean() float64 { return r.sum / r.weight }

// weightAt returns the weight of a report of the given age, between 0 and 1.
func weightAt(age time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(reportHalfLife))
}

// New returns Zones without reports.
func New(opts Options) *Zones {
	return &Zones{opts: opts, services: make(map[string]*service), reportedAt: make(map[string]time.Time)}
}

// Gate identifies the gate that reports a load.
type Gate struct {
	Service, AvailabilityZone, Host string
}

// Observe adds a load that a gate has reported with an answer. holdsSlot states that the answered
// call itself still held a slot: the load after the call has one call fewer.
func (z *Zones) Observe(g Gate, l gate.Load, holdsSlot bool) {
	slots := l.UsableSlots()
	if l.Draining || slots <= 0 {
		return
	}
	calls := l.InUse + l.Queued
	if holdsSlot {
		calls = max(calls-1, 0)
	}
	use := min(float64(calls)/float64(slots), maxUse)
	now := z.opts.Now()
	z.mu.Lock()
	defer z.mu.Unlock()
	if zn := z.zone(g.Service, g.AvailabilityZone); zn != nil {
		store(zn.observed, g.Host, zn.observed[g.Host].add(use, now))
	}
}

// ObserveLocal adds the load of the gate on this host.
func (z *Zones) ObserveLocal(service string, l gate.Load, holdsSlot bool) {
	z.Observe(Gate{Service: service, AvailabilityZone: z.opts.AvailabilityZone, Host: z.opts.Host}, l, holdsSlot)
}

// store sets an entry of a bounded map.
func store(reports map[string]report, host string, r report) {
	if _, ok := reports[host]; !ok && len(reports) >= maxReporters {
		return
	}
	reports[host] = r
}

// zone returns the reports of a zone, nil if the service has too many zones. The caller holds mu.
func (z *Zones) zone(name, zoneName string) *zone {
	s, ok := z.services[name]
	if !ok {
		s = &service{zones: make(map[string]*zone)}
		z.services[name] = s
	}
	zn, ok := s.zones[zoneName]
	if !ok {
		if len(s.zones) >= maxZones {
			return nil
		}
		zn = &zone{observed: make(map[string]report), learned: make(map[string]report)}
		s.zones[zoneName] = zn
	}
	return zn
}

// View is the use of a service by availability zone at one time. It is immutable.
type View struct {
	at   time.Time
	uses map[string]float64
}

// Use returns the use of a zone: calls that run or wait, as a fraction of the slots. It returns
// false if the use is not known.
func (v *View) Use(zone string) (float64, bool) {
	use, ok := v.uses[zone]
	return use, ok
}

// View returns the use of a service as known now.
func (z *Zones) View(name string) *View {
	now := z.opts.Now()
	z.mu.Lock()
	defer z.mu.Unlock()
	s, ok := z.services[name]
	if !ok {
		return &View{}
	}
	if v := s.view.Load(); v != nil && now.Sub(v.at) < viewTTL {
		return v
	}
	v := &View{at: now, uses: make(map[string]float64, len(s.zones))}
	for zoneName, zn := range s.zones {
		prune(zn.observed, now)
		prune(zn.learned, now)
		if use, ok := estimate(now, zn.observed, zn.learned); ok {
			v.uses[zoneName] = use
		}
		if len(zn.observed)+len(zn.learned) == 0 {
			delete(s.zones, zoneName)
		}
	}
	s.view.Store(v)
	return v
}

func prune(reports map[string]report, now time.Time) {
	for host, r := range reports {
		if now.Sub(r.at) >= reportTTL {
			delete(reports, host)
		}
	}
}

// sample is a use with its weight.
type sample struct{ use, weight float64 }

// estimate combines reports to one use, and returns false if there are none. Each host counts at
// most once in each map, however often it reports.
func estimate(now time.Time, sources ...map[string]report) (float64, bool) {
	var samples []sample
	for _, reports := range sources {
		for _, r := range reports {
			if now.Sub(r.at) < reportTTL {
				samples = append(samples, sample{r.mean(), min(r.weight, 1) * weightAt(now.Sub(r.at))})
			}
		}
	}
	n := len(samples)
	if n == 0 {
		return 0, false
	}
	slices.SortFunc(samples, func(a, b sample) int { return cmp.Compare(a.use, b.use) })
	if n < minReportsForMean {
		return (samples[(n-1)/2].use + samples[n/2].use) / 2, true
	}
	sum, weight := 0.0, 0.0
	for _, s := range samples[1 : n-1] {
		sum += s.use * s.weight
		weight += s.weight
	}
	return sum / weight, true
}
