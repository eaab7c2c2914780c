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
	// staleAge is the mean age of the reports from which on the use of a zone is learned anew. With
	// the use taken as known for 2 s, a zone whose demand had gone was not used for as long.
	staleAge = 2 * reportHalfLife
	// failureTTL is how long a zone is unknown after an attempt there has failed. Reports of the time
	// before have then lost most of their weight.
	failureTTL = 2 * reportHalfLife
	// minDeviation is the least deviation assumed between a gate's use and the mean of its zone, for
	// zones with few reports: one call more or less at a gate with some ten slots.
	minDeviation = 0.1
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
	// view is the latest view, nil if it must be computed again.
	view *View
}

// zone holds the reports about a service's gates in one zone, by host: observed holds what gates
// reported about themselves with answers to this daemon, learned what other daemons passed on.
type zone struct {
	observed, learned map[string]report
	// failedAt is when the latest attempt failed to reach a host of the zone, zero if an answer from
	// the zone has arrived since.
	failedAt time.Time
}

// report is the latest use that one host has reported. Earlier ones of the host are not averaged in:
// a mean of past loads follows a change of the demand too late.
type report struct {
	use float64
	at  time.Time
}

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
		store(zn.observed, g.Host, report{use, now})
		zn.failedAt = time.Time{}
	}
}

// ObserveFailure states that an attempt has not reached the gate, or got no answer from it. Until a
// gate of the zone answers, the use of the zone is unknown for a moment: if the zone is cut off, calls
// must not leave for it on older reports or on those of other daemons.
func (z *Zones) ObserveFailure(g Gate) {
	now := z.opts.Now()
	z.mu.Lock()
	defer z.mu.Unlock()
	if zn := z.zone(g.Service, g.AvailabilityZone); zn != nil {
		delete(zn.observed, g.Host)
		zn.failedAt = now
		z.services[g.Service].view = nil
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
	at    time.Time
	zones map[string]Knowledge
}

// Knowledge is what is known of a service in one zone.
type Knowledge struct {
	// Use is the number of calls that run or wait, as a fraction of the slots, if Known.
	Use   float64
	Known bool
	// Error is the standard error of Use.
	Error float64
	// Stale is set if the reports are older on average than staleAge. The use may have
	// changed since.
	Stale bool
}

// Zone returns what is known of a zone.
func (v *View) Zone(name string) Knowledge { return v.zones[name] }

// View returns the use of a service as known now.
func (z *Zones) View(name string) *View {
	now := z.opts.Now()
	z.mu.Lock()
	defer z.mu.Unlock()
	s, ok := z.services[name]
	if !ok {
		return &View{}
	}
	if v := s.view; v != nil && now.Sub(v.at) < viewTTL {
		return v
	}
	v := &View{at: now, zones: make(map[string]Knowledge, len(s.zones))}
	for zoneName, zn := range s.zones {
		prune(zn.observed, now)
		prune(zn.learned, now)
		failed := now.Sub(zn.failedAt) < failureTTL
		if k, _ := estimate(now, zn.observed, zn.learned); k.Known && !failed {
			v.zones[zoneName] = k
		}
		if len(zn.observed)+len(zn.learned) == 0 && !failed {
			delete(s.zones, zoneName)
		}
	}
	s.view = v
	return v
}

func prune(reports map[string]report, now time.Time) {
	for host, r := range reports {
		if now.Sub(r.at) >= reportTTL {
			delete(reports, host)
		}
	}
}

// sample is a use with its weight and its age in seconds.
type sample struct{ use, weight, age float64 }

// estimate combines reports to the use of a zone and the mean age of the reports.
func estimate(now time.Time, sources ...map[string]report) (Knowledge, time.Duration) {
	var samples []sample
	for _, reports := range sources {
		for _, r := range reports {
			if age := now.Sub(r.at); age < reportTTL {
				samples = append(samples, sample{r.use, weightAt(age), age.Seconds()})
			}
		}
	}
	n := len(samples)
	if n == 0 {
		return Knowledge{}, 0
	}
	// The order by age makes the sums independent of the order of the map.
	slices.SortFunc(samples, func(a, b sample) int { return cmp.Or(cmp.Compare(a.use, b.use), cmp.Compare(a.age, b.age)) })
	middle := samples
	if n >= minReportsForMean {
		middle = samples[1 : n-1]
	}
	use, age := weightedMean(middle)
	if n < minReportsForMean {
		use = (samples[(n-1)/2].use + samples[n/2].use) / 2
	}
	meanAge := time.Duration(age * float64(time.Second))
	return Knowledge{Use: use, Known: true, Error: standardError(samples, use), Stale: meanAge > staleAge}, meanAge
}

// weightedMean returns the means of use and age.
func weightedMean(samples []sample) (use, age float64) {
	weight := 0.0
	for _, s := range samples {
		use += s.use * s.weight
		age += s.age * s.weight
		weight += s.weight
	}
	return use / weight, age / weight
}

// standardError returns the standard error of a mean of the samples.
func standardError(samples []sample, mean float64) float64 {
	variance, weight, squares := 0.0, 0.0, 0.0
	for _, s := range samples {
		variance += s.weight * (s.use - mean) * (s.use - mean)
		weight += s.weight
		squares += s.weight * s.weight
	}
	deviation := max(math.Sqrt(variance/weight), minDeviation)
	return deviation * math.Sqrt(squares) / weight
}
