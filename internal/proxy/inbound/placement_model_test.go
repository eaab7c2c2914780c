package inbound

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/balance"
	"github.com/crocuscross/crocuscross/gate"
)

// The load: uploads of 60 kB from the callers of four zones go to seven servers behind links of 15 Mbit/s,
// which carry 218 uploads a second. Demand in each zone swings by 0.55 over 15 s, out of phase with the
// other zones; the zone with one server has a fifth of it.
const (
	uploadObjective = 1200 * time.Millisecond
	uploadTimeout   = 3 * time.Second
	uploadRate      = 152
	uploadSwing     = 0.55
	uploadPeriod    = 15 * time.Second
	uploadWork      = 270 * time.Millisecond
	uploadSlots     = 18
	sendersPerZone  = 16
	localHop        = 300 * time.Microsecond
	// placementLength is one period of the demand after the warm-up.
	placementLength = modelWarmUp + uploadPeriod
	// remoteCost is that of 60 kB at 100 ms per kilobyte and second of the objective.
	remoteCost = 7200 * time.Millisecond
)

var (
	// zoneCallers is the relative demand of each zone, vaultZones the zone of each server, vaultSpeeds
	// its speed.
	zoneCallers = []float64{474, 491, 468, 359}
	vaultZones  = []int{0, 0, 1, 1, 2, 2, 3}
	vaultSpeeds = []float64{0.6, 1, 1.4, 0.6, 1, 1.4, 1}
)

func zoneName(z int) string { return fmt.Sprint("zone-", z) }

// vault is a backend server behind its gate and its link.
type vault struct {
	linkModel
	gate  *gate.Gate
	speed float64
	// old makes the daemon beside the server one without LinkPlacement.
	old bool
	// unreachable makes the host silent, and falseLoad replaces the load that its gate reports.
	unreachable func(age time.Duration) bool
	falseLoad   func(gate.Load) gate.Load
}

// uploader is the daemon of a sender.
type uploader struct {
	host, zone int
	picker     *balance.Picker
	// old makes the daemon one without LinkPlacement.
	old bool
}

// placement is one run of the load.
type placement struct {
	// places and adapts enable the two parts of the decision: the placement by the senders, and the
	// window of the receivers.
	places, adapts           bool
	rate                     float64
	senderPauses, hostPauses float64
	// change changes the servers or the senders before the run.
	change func(vaults []*vault, senders []*uploader)
	// at runs once at the given age.
	atAge time.Duration
	at    func(p *placement)

	servers []*backend.Server
	vaults  []*vault
	senders []*uploader
	start   time.Time

	mu     sync.Mutex
	zones  []placementCount
	reason map[string]int
}

// placementCount counts calls of one zone by their result, and the bytes that left the zone.
type placementCount struct{ calls, inTime, late, rejected, bytesOut int }

func (c *placementCount) add(o placementCount) {
	c.calls += o.calls
	c.inTime += o.inTime
	c.late += o.late
	c.rejected += o.rejected
	c.bytesOut += o.bytesOut
}

func (c placementCount) share(n int) float64 { return float64(n) / float64(c.calls) }

func (p *placement) newPicker(zone, host int) *balance.Picker {
	o := balance.DefaultOptions()
	o.AvailabilityZone, o.SlowStart = zoneName(zone), 0
	rng, mu := rand.New(rand.NewPCG(7, uint64(host))), new(sync.Mutex)
	o.Rand = func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(n)
	}
	o.LinkPlacement, o.DisableSlowEjection, o.Host = p.places, true, fmt.Sprint("sender-", host)
	return balance.New(o)
}

func (p *placement) setUp() {
	p.start, p.zones, p.reason = time.Now(), make([]placementCount, len(zoneCallers)), map[string]int{}
	for i, zone := range vaultZones {
		o := gate.DefaultOptions()
		o.Slots, o.FixedSlots = uploadSlots, true
		p.vaults = append(p.vaults, &vault{
			linkModel: linkModel{senderPauses: p.senderPauses, hostPauses: p.hostPauses, host: i, start: p.start, length: placementLength, pacer: newPacer(modelMbps, p.adapts)},
			gate:      gate.New(o), speed: vaultSpeeds[i],
		})
		p.servers = append(p.servers, &backend.Server{
			ID:               backend.ID{Host: fmt.Sprint(i), Service: "vault"},
			AvailabilityZone: zoneName(zone), Slots: uploadSlots, LinkMbps: modelMbps, FirstSeen: p.start.Add(-time.Hour),
		})
	}
	for i := range sendersPerZone * len(zoneCallers) {
		zone := i % len(zoneCallers)
		p.senders = append(p.senders, &uploader{host: 100 + i, zone: zone, picker: p.newPicker(zone, i), old: !p.places})
	}
	if p.change != nil {
		p.change(p.vaults, p.senders)
	}
}

// demand returns the calls per second of a zone.
func (p *placement) demand(zone int, age time.Duration) float64 {
	total := 0.0
	for _, c := range zoneCallers {
		total += c
	}
	phase := 2*math.Pi*age.Seconds()/uploadPeriod.Seconds() + float64(zone)*math.Pi/2
	return p.rate * zoneCallers[zone] / total * (1 + uploadSwing*math.Sin(phase))
}

func (p *placement) run(t *testing.T) placementCount {
	t.Helper()
	if p.rate == 0 {
		p.rate = uploadRate
	}
	synctest.Test(t, func(t *testing.T) {
		p.setUp()
		var calls sync.WaitGroup
		if p.at != nil {
			calls.Go(func() { time.Sleep(p.atAge); p.at(p) })
		}
		for zone := range zoneCallers {
			calls.Go(func() {
				rng := rand.New(rand.NewPCG(11, uint64(zone)))
				for time.Since(p.start) < placementLength {
					time.Sleep(time.Duration(rng.ExpFloat64() / p.demand(zone, time.Since(p.start)) * float64(time.Second)))
					p.mu.Lock()
					sender := p.senders[zone+len(zoneCallers)*rng.IntN(sendersPerZone)]
					p.mu.Unlock()
					c := &uploadCall{p: p, sender: sender, length: bodyLength(rng), work: math.Exp(0.3*rng.NormFloat64()-0.045) * float64(uploadWork)}
					calls.Go(func() { c.run(t.Context()) })
				}
			})
		}
		calls.Wait()
	})
	var sum placementCount
	for _, z := range p.zones {
		sum.add(z)
	}
	text := ""
	for _, z := range p.zones {
		text += fmt.Sprintf(" %.2f", z.share(z.inTime))
	}
	carried := 0.0
	for _, v := range p.vaults {
		carried += float64(v.carried) * 8 / (modelMbps * 1e6) / (placementLength - modelWarmUp).Seconds() / float64(len(p.vaults))
	}
	t.Logf("placement %-5v window %-5v %3.0f/s: in time %.3f (by zone%s), late %.3f, rejected %.3f, MB out of zones %.1f, links used %.2f, %v",
		p.places, p.adapts, p.rate, sum.share(sum.inTime), text, sum.share(sum.late), sum.share(sum.rejected), float64(sum.bytesOut)/1e6, carried, p.reason)
	return sum
}

// newPlacement returns a run of load B with daemons that are paused in 0.3 of their quota periods.
func newPlacement(enabled bool, rate float64) *placement {
	return &placement{places: enabled, adapts: enabled, rate: rate, senderPauses: 0.3, hostPauses: 0.3}
}

// Guards against uploads that are late or rejected because their zone's links are full while others have
// room. Below the capacity of the links, nearly all must be in time, in each zone; above it, the links
// must be used, and the uploads accepted must be in time. In each case callers must get more answers in
// time than without the decision.
func TestPlacement_UploadsByLinks(t *testing.T) {
	for _, test := range []struct {
		rate, inTime, late float64
	}{
		{rate: 152, inTime: 0.95, late: 0.05},
		// 218 a second are the capacity.
		{rate: 235, inTime: 0.9 * 0.9 * 218 / 235, late: 0.05},
	} {
		before := newPlacement(false, test.rate).run(t)
		// The two parts of the decision alone, for comparison.
		placed := newPlacement(true, test.rate)
		placed.adapts = false
		placed.run(t)
		windowed := newPlacement(false, test.rate)
		windowed.adapts = true
		windowed.run(t)
		p := newPlacement(true, test.rate)
		now := p.run(t)
		must.GreaterEq(t, test.inTime, now.share(now.inTime))
		must.LessEq(t, test.late, now.share(now.late))
		must.Greater(t, before.inTime, now.inTime)
		for _, z := range p.zones {
			must.GreaterEq(t, test.inTime-0.05, z.share(z.inTime))
		}
	}
}

// runShare returns the share of the calls that are answered in time.
func (p *placement) runShare(t *testing.T) float64 {
	c := p.run(t)
	return c.share(c.inTime)
}

// One failure at a time, at 0.7 of the capacity of the links. It must not cost more answers than the
// failed part serves, and the system must recover when the failure ends.
func TestPlacement_Failures(t *testing.T) {
	const failAt, failEnd = modelWarmUp + 4*time.Second, modelWarmUp + 7*time.Second
	during := func(age time.Duration) bool { return age >= failAt && age < failEnd }
	for name, test := range map[string]struct {
		rate, inTime float64
		change       func([]*vault, []*uploader)
		atAge        time.Duration
		at           func(*placement)
	}{
		// Gates and senders of the old version: a gate reports no link wait, a sender ignores it. Callers
		// must be served better than by old daemons alone.
		"half of the daemons are old": {rate: 152, inTime: newPlacement(false, 152).runShare(t), change: func(vaults []*vault, senders []*uploader) {
			for i, v := range vaults {
				if v.old = i%2 == 0; v.old {
					v.pacer = newPacer(modelMbps, false)
				}
			}
			for i, s := range senders {
				if i/len(zoneCallers)%2 == 0 {
					s.old, s.picker = true, (&placement{}).newPicker(s.zone, s.host)
				}
			}
		}},
		"half of the senders restart": {rate: 152, inTime: 0.95, atAge: failAt, at: func(p *placement) {
			p.mu.Lock()
			defer p.mu.Unlock()
			for i, s := range p.senders {
				if i/len(zoneCallers)%2 == 0 {
					p.senders[i] = &uploader{host: s.host, zone: s.zone, picker: p.newPicker(s.zone, s.host)}
				}
			}
		}},
		// The gate itself rejects what is too much for its link.
		"a gate reports an idle link": {rate: 152, inTime: 0.95, change: func(vaults []*vault, _ []*uploader) {
			vaults[0].falseLoad = func(l gate.Load) gate.Load { l.LinkWait, l.Wait = 0, 0; return l }
		}},
		// Its link is lost to others while it reports so, a seventh of the capacity.
		"a gate reports a busy link": {rate: 130, inTime: 0.9, change: func(vaults []*vault, _ []*uploader) {
			vaults[0].falseLoad = func(l gate.Load) gate.Load { l.LinkWait = time.Hour; return l }
		}},
		"the reports of loads are lost": {rate: 152, inTime: 0.9, change: func(vaults []*vault, _ []*uploader) {
			for _, v := range vaults {
				v.falseLoad = func(gate.Load) gate.Load { return gate.Load{Slots: uploadSlots} }
			}
		}},
		// Two of seven links are lost for 3 s of 15 s; the others have room for their uploads.
		"a zone is cut off": {rate: 110, inTime: 0.9, change: func(vaults []*vault, _ []*uploader) {
			vaults[2].unreachable, vaults[3].unreachable = during, during
		}},
		// No upload can be served for 3 s of 15 s.
		"all servers are gone": {rate: 110, inTime: 0.95 * 12 / 15, change: func(vaults []*vault, _ []*uploader) {
			for _, v := range vaults {
				v.unreachable = during
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlacement(true, test.rate)
			p.change, p.atAge, p.at = test.change, test.atAge, test.at
			must.GreaterEq(t, test.inTime, p.runShare(t))
		})
	}
}
