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

func (l *limitLoad) dumpHolders(t *testing.T, i int) {
	a := l.accounts[i]
	for _, d := range l.w.daemons {
		if d.dead {
			continue
		}
		acc := d.m.account(a.contract)
		le := acc.lease.Load()
		if !le.valid(d.m.now()) {
			t.Logf("   %s none failures %d demand %.2f next %v owner %v", d.host, acc.failures, acc.demand.rate(acc.arrivals.Load()), acc.nextClaim-d.m.now(), acc.owner != nil)
			continue
		}
		t.Logf("   %s pooled=%v local=%v rate=%.1f burst=%.1f level=%.1f failures %d demand %.2f below=%v next %v expires %v", d.host, le.pooled, le.local, le.rate, le.burst, le.level(d.m.now()), acc.failures, acc.demand.rate(acc.arrivals.Load()), le.belowLimit, acc.nextClaim-d.m.now(), le.expires-d.m.now())
	}
}

func TestProbeKillHolders(t *testing.T) {
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
	l.w.runUntil(21500 * time.Millisecond)
	l.dumpHolders(t, 2)
}

func TestProbeLimit(t *testing.T) {
	usual := func(time.Duration) float64 { return 1 }
	calm := func(l *limitLoad) {
		for _, a := range l.accounts {
			l.offer(a, limitEnd, usual)
		}
	}
	for _, s := range []struct {
		name string
		run  func(l *limitLoad)
	}{
		{"calm", calm},
		{"doubled below limit at 20s", func(l *limitLoad) {
			for i, a := range l.accounts {
				l.offer(a, limitEnd, func(at time.Duration) float64 {
					if i%3 == 1 && at < 20*time.Second {
						return 0.6
					}
					if i%3 == 1 {
						return 1.2
					}
					return 1
				})
			}
		}},
		{"account 1 at six times from 20s to 26.5s", func(l *limitLoad) {
			for i, a := range l.accounts {
				l.offer(a, limitEnd, func(at time.Duration) float64 {
					if i == 1 && at >= 20*time.Second && at < 26500*time.Millisecond {
						return 6
					}
					return 1
				})
			}
		}},
		{"sixth killed at 20s, restarted at 24s", func(l *limitLoad) {
			calm(l)
			l.w.at(20*time.Second, func() {
				for _, i := range l.rng.Perm(limitDaemons)[:limitDaemons/6] {
					d := l.w.daemons[i]
					l.w.kill(d)
					l.w.after(4*time.Second, func() { l.w.restart(d, l.contracts()...) })
				}
			})
		}},
		{"all restarted at 20s", func(l *limitLoad) {
			calm(l)
			l.w.at(20*time.Second, func() {
				for _, d := range l.w.daemons {
					l.w.kill(d)
				}
				l.w.after(time.Second, func() {
					for _, d := range l.w.daemons {
						l.w.restart(d, l.contracts()...)
					}
				})
			})
		}},
		{"limits x0.7 at 20s, x2 at 30s (a third)", func(l *limitLoad) {
			calm(l)
			l.w.at(20*time.Second, func() { l.change(0.7) })
			l.w.at(30*time.Second, func() { l.change(2) })
		}},
	} {
		l := newLimitLoad(1)
		l.w.runUntil(limitStart)
		l.w.messages, l.w.bytes = 0, 0
		s.run(l)
		l.w.runUntil(limitEnd + time.Second)
		l.report(t, s.name)
	}
}
