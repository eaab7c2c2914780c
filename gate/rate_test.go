package gate_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/gate"
)

// rateWindow is the time over which the users' platform counts the requests to a server that states
// a limit; it allows one and a half times the limit, and rateExtra requests.
const (
	rateWindow = 4 * time.Second
	rateFactor = 1.5
	rateExtra  = 5
)

// starts records when calls start.
type starts struct {
	mu   sync.Mutex
	list []time.Time
}

func (s *starts) add() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, time.Now())
}

// count returns the number of starts so far.
func (s *starts) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.list)
}

// most returns the highest number of starts within a window.
func (s *starts) most(window time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, first := 0, 0
	for i, at := range s.list {
		for at.Sub(s.list[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// enterRated calls Admit in the background and holds the slot for the service time.
func enterRated(ctx context.Context, g *gate.Gate, c gate.Call, serviceTime time.Duration, s *starts, ended func(error)) {
	go func() {
		ticket, err := g.Admit(ctx, c)
		if err == nil {
			s.add()
			time.Sleep(serviceTime)
			ticket.Done(gate.Answered)
		}
		ended(err)
	}()
}

// A server with free slots states a limit of two requests a second. Guards against calls that start
// as fast as slots allow.
func TestRateLimit_BoundsStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, s := newGate(9, 100), &starts{}
		g.SetRateLimit(2)
		for range 60 * 10 {
			enterRated(t.Context(), g, gate.Call{Customer: "a", Remaining: time.Second}, 50*time.Millisecond, s, func(error) {})
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		must.LessEq(t, 9, s.most(rateWindow))
		must.Between(t, 118, s.count(), 123)
	})
}

// A call that the rate limit lets start too late is rejected on arrival, with the time at which it
// can come back; a call that can wait does wait.
func TestRateLimit_RejectsAtOnceWhatCannotStartInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(9, 100)
		g.SetRateLimit(0.5)
		start := time.Now()
		call := gate.Call{Route: "r", Remaining: 10 * time.Second, MaxWait: 300 * time.Millisecond}
		_, err := g.Admit(t.Context(), call)
		must.Eq(t, errkind.Overloaded, errkind.Of(err))
		must.Eq(t, 2*time.Second, errkind.RetryAfterOf(err))
		must.Eq(t, errkind.Overloaded, errkind.Of(g.Check(call)))
		must.Eq(t, start, time.Now())
		must.Eq(t, 1, g.Load().RateRejected)
		call.MaxWait = 0
		_, err = g.Admit(t.Context(), call)
		must.NoError(t, err)
		must.Eq(t, 2*time.Second, time.Since(start))
		must.Eq(t, 2*time.Second, g.Load().Wait)
		time.Sleep(time.Second)
		must.Eq(t, time.Second, g.Load().Wait)
	})
}

// A waiting call of a more urgent rank gets the next start, also before a call that arrives at the
// moment at which the limit allows it.
func TestRateLimit_UrgentCallsStartFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(9, 100)
		g.SetRateLimit(1)
		order := make(chan string, 3)
		enter := func(name string, c gate.Call) {
			go func() {
				c.Route, c.Remaining = name, time.Minute
				_, err := g.Admit(t.Context(), c)
				must.NoError(t, err)
				order <- name
			}()
			synctest.Wait()
		}
		enter("later", gate.Call{Priority: 3})
		enter("urgent", gate.Call{Priority: 1})
		enter("nested", gate.Call{Nested: true})
		time.Sleep(time.Second)
		enter("latest", gate.Call{Priority: 0})
		time.Sleep(3 * time.Second)
		synctest.Wait()
		must.Eq(t, "nested", <-order)
		must.Eq(t, "latest", <-order)
		must.Eq(t, "urgent", <-order)
	})
}

// Guards against calls that keep waiting for a limit that is raised or lifted.
func TestRateLimit_ChangeStartsWaitingCalls(t *testing.T) {
	for name, change := range map[string]func(*gate.Gate){
		"raised": func(g *gate.Gate) { g.SetRateLimit(1000) },
		"lifted": (*gate.Gate).ClearRateLimit,
		"huge":   func(g *gate.Gate) { g.SetRateLimit(1e300) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, s := newGate(9, 100), &starts{}
				g.SetRateLimit(0)
				for range 3 {
					enterRated(t.Context(), g, gate.Call{Customer: "a", Remaining: time.Minute}, 0, s, func(error) {})
				}
				time.Sleep(time.Second)
				must.Eq(t, 0, s.count())
				change(g)
				time.Sleep(10 * time.Millisecond)
				must.Eq(t, 3, s.count())
			})
		})
	}
}

// A server that accepts no requests still gets one from time to time. Without it, the end of the
// limit would never show.
func TestRateLimit_ZeroStillProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, s := newGate(9, 100), &starts{}
		g.SetRateLimit(0)
		for range 600 {
			enterRated(t.Context(), g, gate.Call{Customer: "a", Remaining: time.Minute}, 0, s, func(error) {})
			time.Sleep(100 * time.Millisecond)
		}
		must.Between(t, 11, s.count(), 12)
		must.LessEq(t, rateExtra, s.most(rateWindow))
	})
}

// Limits that are stated, changed and lifted, and calls that arrive, end and are canceled in any
// order: no window has more starts than the highest limit in it allows, each call ends, and no slot
// is lost.
func TestRateLimit_Property(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.Float64Range(0, 8).Draw(rt, "limit")
		slots := rapid.IntRange(1, 12).Draw(rt, "slots")
		steps := rapid.SliceOfN(rapid.IntRange(0, 6), 60, 120).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) {
			g, s := newGate(slots, 50), &starts{}
			g.SetRateLimit(limit)
			var pending sync.WaitGroup
			ctx, cancel := context.WithCancel(t.Context())
			for i, step := range steps {
				switch step {
				case 0:
					time.Sleep(37 * time.Millisecond)
				case 1:
					time.Sleep(911 * time.Millisecond)
				case 2:
					time.Sleep(3 * time.Second)
				case 3:
					g.SetRateLimit(limit * float64(1+i%7) / 7)
				case 4:
					cancel()
					ctx, cancel = context.WithCancel(t.Context())
				default:
					for range 20 {
						pending.Add(1)
						call := gate.Call{Route: string(rune('a' + i%3)), Priority: i % 4, Remaining: time.Duration(1+i%5) * time.Second, MaxWait: time.Duration(i%2) * time.Second, Nested: i%11 == 0}
						enterRated(ctx, g, call, time.Duration(i%9)*40*time.Millisecond, s, func(error) { pending.Done() })
					}
					synctest.Wait()
				}
			}
			pending.Wait()
			cancel()
			synctest.Wait()
			must.Eq(t, 0, g.Load().InUse)
			must.Eq(t, 0, g.Load().Queued)
			must.LessEq(t, rateFactor*max(limit, 0.2)*rateWindow.Seconds()+rateExtra, float64(s.most(rateWindow)))
		})
	})
}

func BenchmarkEnterRateLimited(b *testing.B) {
	g := newGate(10, 10)
	g.SetRateLimit(9e5)
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		if ticket, err := g.Enter(ctx, "a", time.Second); err == nil {
			ticket.Done(gate.Answered)
		}
	}
}

// A server gets ten times the calls that its limit allows. Guards against calls that are held until
// they are late, and against less urgent calls that wait for starts that more urgent ones take.
func TestRateLimit_ExcessIsRejectedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(9, 100)
		g.SetRateLimit(3)
		var mu sync.Mutex
		started, rejected, held := map[int]int{}, map[int]int{}, map[int]time.Duration{}
		for i := range 30 * 60 {
			call := gate.Call{Route: "r", Priority: 1 + 2*(i%2), Remaining: 2 * time.Second, MaxWait: 500 * time.Millisecond, ObjectiveLeft: 700 * time.Millisecond}
			go func() {
				arrived := time.Now()
				ticket, err := g.Admit(t.Context(), call)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					rejected[call.Priority]++
					held[call.Priority] += time.Since(arrived)
					return
				}
				started[call.Priority]++
				time.AfterFunc(200*time.Millisecond, func() { ticket.Done(gate.Answered) })
			}()
			time.Sleep(time.Second / 30)
		}
		time.Sleep(3 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		for _, p := range []int{1, 3} {
			t.Logf("rank %d: %d started, %d rejected after %v", p, started[p], rejected[p], held[p]/time.Duration(max(rejected[p], 1)))
		}
		must.Greater(t, 170, started[1])
		must.Less(t, 20*time.Millisecond, held[1]/time.Duration(rejected[1]))
		must.Less(t, 20*time.Millisecond, held[3]/time.Duration(rejected[3]))
	})
}
