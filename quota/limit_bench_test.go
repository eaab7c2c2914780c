package quota

import (
	"fmt"
	"math"
	"sort"
	"strings"
	"testing"
	"time"
)

// class describes the state of the holder and the owner when a call was rejected.
func (l *limitLoad) class(a *limitAccount, d *daemon, waited time.Duration) string {
	acc := d.m.account(a.contract)
	now := d.m.now()
	le, leased := acc.current(now)
	var b strings.Builder
	fmt.Fprintf(&b, "leased=%v pooled=%v", leased, le.pooled)
	fmt.Fprintf(&b, " failures=%d", min(1, acc.failures))
	fmt.Fprintf(&b, " waited=%v", waited >= admitWait)
	if waited < admitWait {
		fmt.Fprintf(&b, " at once=%v", waited == 0)
	}
	if acc.owner == nil {
		b.WriteString(" no owner")
		return b.String()
	}
	o := l.w.find(acc.owner.Host)
	if o.dead || o.boot != acc.owner.Boot {
		b.WriteString(" owner dead")
		return b.String()
	}
	led := o.m.owner.ledgers[a.contract.Customer]
	if led == nil {
		b.WriteString(" no ledger")
		return b.String()
	}
	f := o.m.fleet.Load()
	level := led.pool.level
	level += led.poolRate(o.m.now(), f) * (o.m.now() - led.pool.at).Seconds()
	fmt.Fprintf(&b, " open=%v poolEmpty=%v poolRate=%.1f charged=%.1f", led.open, level < 1,
		math.Round(10*led.poolRate(o.m.now(), f)/led.contract.rate)/10, math.Round(5*led.sum.charged.rate/led.contract.rate)/5)
	return b.String()
}

// report logs the rejected calls by group of accounts and second, and by class.
func (l *limitLoad) report(t testing.TB, name string) {
	due, missing := l.total(limitStart, limitEnd)
	t.Logf("%s: due %d missing %d = %.2f%% messages %d bytes %d", name, due, missing, 100*float64(missing)/float64(due), l.w.messages, l.w.bytes)
	for _, g := range [][2]int{{0, 1}, {1, 2}, {2, 3}, {3, 10}, {10, 30}, {30, 75}} {
		var by []string
		d, m := 0, 0
		for s := limitStart; s < limitEnd; s += time.Second {
			mm := 0
			for _, a := range l.accounts[g[0]:g[1]] {
				x, y := l.missing(a, s, s+time.Second)
				d, m, mm = d+x, m+y, mm+y
			}
			by = append(by, fmt.Sprint(mm))
		}
		t.Logf("  accounts %d..%d limit %.0f..%.0f: %d of %d: %s", g[0], g[1]-1, l.accounts[g[1]-1].contract.Rate, l.accounts[g[0]].contract.Rate, m, d, strings.Join(by, " "))
	}
	var keys []string
	for k := range l.classes {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return l.classes[keys[i]] > l.classes[keys[j]] })
	for _, k := range keys[:min(14, len(keys))] {
		t.Logf("  %6d %s", l.classes[k], k)
	}
}

// BenchmarkLimit_Situations logs what is rejected below the limit in several situations. Its figures are in
// docs/measure/quota.md.
func BenchmarkLimit_Situations(b *testing.B) {
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
		{"sixth killed at 20s, restarted at 24s", func(l *limitLoad) { l.killSixth(4 * time.Second) }},
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
		l.report(b, s.name)
	}
}

// BenchmarkLimit_SixthKilled logs the same for the 5 s after a sixth of the daemons is killed, and for the
// time after that.
func BenchmarkLimit_SixthKilled(b *testing.B) {
	for _, repair := range []time.Duration{time.Second, 4 * time.Second, 15 * time.Second} {
		var due, missing, dueLater, missingLater int
		for seed := range uint64(6) {
			l := runLimitLoad(seed, func(l *limitLoad) { l.killSixth(repair) })
			d, m := l.total(20*time.Second, 25*time.Second)
			due, missing = due+d, missing+m
			d, m = l.total(25*time.Second, limitEnd)
			dueLater, missingLater = dueLater+d, missingLater+m
		}
		b.Logf("restarted after %v: %.2f %% missing, %.2f %% from 5 s to 20 s", repair,
			100*float64(missing)/float64(due), 100*float64(missingLater)/float64(dueLater))
	}
}
