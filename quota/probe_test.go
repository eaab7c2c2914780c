package quota

import (
	"fmt"
	"testing"
	"time"
)

func (l *limitLoad) dump(t *testing.T, i int) {
	a := l.accounts[i]
	for _, d := range l.w.daemons {
		led := d.m.owner.ledgers[a.contract.Customer]
		if led == nil || d.dead || !d.m.fleet.Load().selfOwns(a.contract.Customer) {
			continue
		}
		f := d.m.fleet.Load()
		kinds := map[string]int{}
		rates := map[string]float64{}
		for _, e := range led.entries {
			k := fmt.Sprintf("bucket=%v heldbucket=%v delegates=%v feeding=%v", e.granted.burst > 0, e.held.burst > 0, e.delegates, e.pooled)
			kinds[k]++
			rates[k] += e.charged().rate
		}
		t.Logf("%v acct %d limit %.0f amount %.0f/%.0f owner %s open=%v reported=%.1f limit=%.1f charged=%.1f/%.1f poolRate=%.1f level=%.1f demand=%.1f holders=%.0f earlier=%.1f", l.w.now, i, a.contract.Rate, led.contract.rate, led.contract.burst, d.host, led.open,
			led.reported.rate, led.limit(d.m.now(), f).rate, led.sum.charged.rate, led.sum.charged.burst, led.poolRate(d.m.now(), f), led.pool.level, led.sum.demand, led.sum.holders, led.earlier.unreported(d.m.now()).rate)
		for k := range kinds {
			t.Logf("     %s n=%d rate=%.1f", k, kinds[k], rates[k])
		}
	}
}

func TestProbeCalm(t *testing.T) {
	l := newLimitLoad(1)
	l.w.runUntil(limitStart)
	for _, a := range l.accounts {
		l.offer(a, limitEnd, func(time.Duration) float64 { return 1 })
	}
	for _, at := range []float64{10.3, 11, 12, 13, 15, 20, 25, 30} {
		l.w.runUntil(time.Duration(at * float64(time.Second)))
		for _, i := range []int{2, 15, 40, 60} {
			l.dump(t, i)
		}
	}
}

func TestProbeKill(t *testing.T) {
	l := newLimitLoad(1)
	l.w.runUntil(limitStart)
	for _, a := range l.accounts {
		l.offer(a, limitEnd, func(time.Duration) float64 { return 1 })
	}
	l.w.at(20*time.Second, func() {
		for _, i := range l.rng.Perm(limitDaemons)[:limitDaemons/6] {
			d := l.w.daemons[i]
			l.w.kill(d)
			l.w.after(4*time.Second, func() { l.w.restart(d, l.contracts()...) })
		}
	})
	for at := 19.9; at < 31; at += 0.5 {
		l.w.runUntil(time.Duration(at * float64(time.Second)))
		l.dump(t, 2)
	}
}
