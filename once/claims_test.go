package once

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/eventlog/memlog"
	"github.com/crocuscross/crocuscross/once/oncepb"
)

// claimFleet is a log and the daemons that take own keys by it. It lives in a
// synctest bubble.
type claimFleet struct {
	t    *testing.T
	svc  *memlog.Service
	log  *memlog.Stream
	boot uint64
	// scale divides all times of hours and minutes.
	scale time.Duration

	mu sync.Mutex
	// issued is when each key was issued.
	issued map[Key]time.Time
}

func newClaimFleet(t *testing.T, retain time.Duration) *claimFleet {
	opts := memlog.DefaultOptions()
	opts.RetainFor = retain
	svc := memlog.New(opts)
	return &claimFleet{t: t, svc: svc, log: svc.Stream(StreamClaims), scale: 1, issued: map[Key]time.Time{}}
}

// claimer is one life of a daemon.
type claimer struct {
	*ClaimResolver
	keys *KeyStore
	stop func()
}

// recordingIssuer notes when keys are issued.
type recordingIssuer struct {
	*KeyStore
	f *claimFleet
}

func (r recordingIssuer) Issue(n int) []Key {
	keys := r.KeyStore.Issue(n)
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	for _, k := range keys {
		r.f.issued[k] = time.Now()
	}
	return keys
}

func (f *claimFleet) start(host string) *claimer {
	f.boot++
	kopts := DefaultKeyStoreOptions(host, f.boot)
	kopts.Lifetime /= f.scale
	keys := NewKeyStore(kopts)
	opts := DefaultClaimResolverOptions(f.log, recordingIssuer{keys, f})
	opts.Lifetime /= f.scale
	opts.StartMargin /= f.scale
	opts.HorizonInterval /= f.scale
	c, err := NewClaimResolver(opts)
	must.NoError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	return &claimer{ClaimResolver: c, keys: keys, stop: func() {
		cancel()
		must.NoError(f.t, <-done)
	}}
}

// claim claims an own key within a second.
func (c *claimer) claim(own string) (Key, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return c.Resolve(ctx, "garage-9", own)
}

func (f *claimFleet) run(name string, test func(t *testing.T, f *claimFleet, a, b *claimer)) {
	f.t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := newClaimFleet(t, 0)
			a, b := g.start("a"), g.start("b")
			defer a.stop()
			defer b.stop()
			synctest.Wait()
			test(t, g, a, b)
		})
	})
}

// A caller repeats a request under a key of its own through two daemons, while
// the log misbehaves. Both must come to the same holder, or say that they
// cannot tell; two holders would run the call twice.
func TestClaimsUnderFaults(t *testing.T) {
	f := &claimFleet{t: t}
	f.run("race", func(t *testing.T, f *claimFleet, a, b *claimer) {
		var got [20]Key
		var wg sync.WaitGroup
		for i := range got {
			wg.Go(func() { got[i], _ = []*claimer{a, b}[i%2].claim("k") })
		}
		wg.Wait()
		for _, k := range got {
			must.Eq(t, got[0], k)
			must.NotEq(t, Key{}, k)
		}
		other, err := a.Resolve(t.Context(), "garage-8", "k")
		must.NoError(t, err)
		must.NotEq(t, got[0], other)
	})
	f.run("lost answer", func(t *testing.T, f *claimFleet, a, b *claimer) {
		f.svc.LoseResponses(1)
		first, err := a.claim("k")
		must.NoError(t, err)
		synctest.Wait()
		again, err := b.claim("k")
		must.NoError(t, err)
		must.Eq(t, first, again)
		must.Eq(t, 1, f.svc.Counters().Appends)
	})
	f.run("lost request", func(t *testing.T, f *claimFleet, a, b *claimer) {
		f.svc.LoseRequests(1)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := a.Resolve(ctx, "garage-9", "k")
		must.NoError(t, err)
	})
	f.run("append takes effect after the caller was told", func(t *testing.T, f *claimFleet, a, b *claimer) {
		release := f.svc.Hold()
		_, err := a.claim("k")
		must.Eq(t, errkind.KeyUnresolved, errkind.Of(err))
		must.Eq(t, errkind.RunUnknown, errkind.Of(err).Answer().Run)
		release()
		time.Sleep(time.Minute)
		k, err := b.claim("k")
		must.NoError(t, err)
		host, _ := k.Holder()
		must.Eq(t, "a", host)
		// Nothing has run under it, so the repeat does.
		_, _, err = a.keys.Begin(k, Fingerprint{1})
		must.NoError(t, err)
	})
	f.run("outage", func(t *testing.T, f *claimFleet, a, b *claimer) {
		known, err := a.claim("known")
		must.NoError(t, err)
		f.svc.SetOutage(true)
		time.Sleep(time.Minute)
		began := time.Now()
		_, err = a.claim("k")
		must.Eq(t, errkind.KeyUnresolved, errkind.Of(err))
		must.Eq(t, retryAfterLogFailure, errkind.RetryAfterOf(err))
		must.Eq(t, 0, time.Since(began))
		again, err := a.claim("known")
		must.NoError(t, err)
		must.Eq(t, known, again)
		f.svc.SetOutage(false)
		time.Sleep(time.Minute)
		_, err = a.claim("k")
		must.NoError(t, err)
	})
	f.run("many share appends", func(t *testing.T, f *claimFleet, a, b *claimer) {
		const delay = 5 * time.Millisecond
		f.svc.SetDelay(delay)
		began := time.Now()
		_, err := a.claim(`"alone"`)
		must.NoError(t, err)
		must.LessEq(t, 2*delay, time.Since(began))
		began = time.Now()
		_, err = a.claim("alone")
		must.NoError(t, err)
		must.Eq(t, 0, time.Since(began))
		var wg sync.WaitGroup
		for i := range 500 {
			wg.Go(func() {
				_, err := a.claim(fmt.Sprint(i))
				must.NoError(t, err)
			})
		}
		wg.Wait()
		must.LessEq(t, 1+3, f.svc.Counters().Appends)
		must.LessEq(t, 150*time.Millisecond, time.Since(began))
	})
}

// Records younger than the lifetime of claims are gone, cut too early or lost
// at the end. A daemon that begins then, or that had read them, knows that it
// may miss a claim under which a call ran. It refuses for a lifetime rather than
// claim the key anew, and names the time.
func TestMissingClaimsAreNotClaimedAnew(t *testing.T) {
	cases := map[string]struct {
		lose  func(f *claimFleet)
		blind bool
	}{
		"nothing lost":       {func(*claimFleet) {}, false},
		"cut too early":      {func(f *claimFleet) { f.log.TruncateBefore(2) }, true},
		"whole log cut":      {func(f *claimFleet) { f.log.TruncateBefore(10) }, true},
		"end lost, idle":     {func(f *claimFleet) { f.log.TruncateEnd(2) }, true},
		"cut after the life": {func(f *claimFleet) { time.Sleep(3 * time.Hour); f.log.TruncateBefore(2) }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newClaimFleet(t, 0)
				a := f.start("a")
				defer a.stop()
				for i := range 3 {
					_, err := a.claim(fmt.Sprint(i))
					must.NoError(t, err)
				}
				c.lose(f)
				time.Sleep(time.Minute)
				b := f.start("b")
				defer b.stop()
				own := "new"
				if name == "end lost, idle" {
					// Others may claim anew what a has read and the log has lost.
					b, own = a, "2"
				}
				_, err := b.claim(own)
				if !c.blind {
					must.NoError(t, err)
					return
				}
				must.Eq(t, errkind.KeyUnresolved, errkind.Of(err))
				time.Sleep(errkind.RetryAfterOf(err) - time.Second)
				_, err = b.claim(own)
				must.Eq(t, errkind.KeyUnresolved, errkind.Of(err))
				time.Sleep(time.Minute)
				_, err = b.claim(own)
				must.NoError(t, err)
			})
		})
	}
}

// The log loses its end and grows again before anyone looks, which an append
// notices by its offset: a record cannot come before one that was read.
func TestAppendNoticesALostEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newClaimFleet(t, 0)
		a := f.start("a")
		defer a.stop()
		for i := range 3 {
			_, err := a.claim(fmt.Sprint(i))
			must.NoError(t, err)
		}
		f.log.TruncateEnd(1)
		_, err := a.claim("new")
		must.Eq(t, errkind.KeyUnresolved, errkind.Of(err))
		must.Less(t, errkind.RetryAfterOf(err), time.Hour)
		time.Sleep(time.Hour)
		_, err = a.claim("new")
		must.Eq(t, errkind.KeyUnresolved, errkind.Of(err))
	})
}

// Daemons whose settings differ would end claims at different records, and so
// come to different holders. Both stop deciding instead.
func TestOtherRulesStopDecisions(t *testing.T) {
	for _, pb := range []*oncepb.ClaimBatch{
		{RuleVersion: claimsRuleVersion + 1, LifetimeSeconds: 7200},
		{RuleVersion: claimsRuleVersion, LifetimeSeconds: 3600},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newClaimFleet(t, 0)
			a := f.start("a")
			defer a.stop()
			data, err := proto.Marshal(pb)
			must.NoError(t, err)
			_, err = f.log.Append(t.Context(), []byte("no claim at all"))
			must.NoError(t, err)
			_, err = a.claim("k")
			must.NoError(t, err)
			_, err = f.log.Append(t.Context(), data)
			must.NoError(t, err)
			synctest.Wait()
			_, err = a.claim("k")
			must.Eq(t, errkind.KeyUnresolved, errkind.Of(err))
		})
	}
}

// Each claim is a bound: too many at once, too many in all, bad keys.
func TestClaimBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newClaimFleet(t, 0)
		a := f.start("a")
		defer a.stop()
		synctest.Wait()
		a.opts.MaxClaims, a.opts.MaxPending = 2, 1
		for _, bad := range []string{"", string(make([]byte, maxCallerKeyBytes+1))} {
			_, err := a.claim(bad)
			must.Eq(t, errkind.KeyUnknown, errkind.Of(err))
		}
		release := f.svc.Hold()
		go func() { _, _ = a.claim("1") }()
		synctest.Wait()
		began := time.Now()
		_, err := a.claim("2")
		must.Eq(t, errkind.KeyUnresolved, errkind.Of(err))
		must.Eq(t, 0, time.Since(began))
		release()
		for _, own := range []string{"1", "2"} {
			_, err = a.claim(own)
			must.NoError(t, err)
		}
		_, err = a.claim("3")
		must.Eq(t, errkind.KeyUnresolved, errkind.Of(err))
		opts := DefaultClaimResolverOptions(f.log, a.keys)
		opts.Lifetime = time.Hour
		_, err = NewClaimResolver(opts)
		must.Error(t, err)
	})
}

// resolution is what a daemon made of an own key.
type resolution struct {
	key Key
	// ran is when a call began under it, zero if none did.
	ran time.Time
}

// Own keys are claimed through three daemons that restart and pause at every
// point, over a log with outages, delays, lost answers and requests, and cuts
// both due and early. Never may an own key stand for a second issued key while
// the first is within the lifetime of claims, nor run a second time within what
// that leaves.
func TestClaimsHoldUnderAnyFault(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			f := newClaimFleet(t, 5*time.Minute)
			f.scale = 60
			const lifetime = 2 * time.Minute
			hosts := []string{"a", "b", "c"}
			claimers := map[string]*claimer{}
			for _, h := range hosts {
				claimers[h] = f.start(h)
			}
			var mu sync.Mutex
			found := map[string]map[Key]*resolution{}
			var calls sync.WaitGroup
			at := func(host string) *claimer {
				mu.Lock()
				defer mu.Unlock()
				return claimers[host]
			}
			request := func(own, host string, pause time.Duration) {
				k, err := at(host).claim(own)
				if err != nil {
					return
				}
				now := time.Now()
				mu.Lock()
				if found[own] == nil {
					found[own] = map[Key]*resolution{}
				}
				res := found[own][k]
				if res == nil {
					res = &resolution{key: k}
					found[own][k] = res
				}
				f.mu.Lock()
				young := 0
				for other := range found[own] {
					if now.Sub(f.issued[other]) < lifetime {
						young++
					}
				}
				f.mu.Unlock()
				mu.Unlock()
				must.LessEq(t, 1, young, must.Sprintf("seed %d: own key stands for two keys", seed))
				time.Sleep(pause)
				holder, _ := k.Holder()
				mu.Lock()
				defer mu.Unlock()
				if _, _, err := claimers[holder].keys.Begin(k, Fingerprint{1}); err != nil {
					return
				}
				for _, other := range found[own] {
					if !other.ran.IsZero() {
						must.Less(t, time.Since(other.ran), lifetime-claimers[holder].keys.MaxLifetime())
					}
				}
				res.ran = time.Now()
			}
			for range 150 {
				switch own, host := fmt.Sprint(r.IntN(3)), hosts[r.IntN(3)]; r.IntN(14) {
				case 0:
					f.svc.SetOutage(r.IntN(2) == 0)
				case 1:
					f.svc.LoseResponses(r.IntN(3))
				case 2:
					f.svc.LoseRequests(r.IntN(3))
				case 3:
					f.svc.SetDelay(time.Duration(r.IntN(3)) * 800 * time.Millisecond)
				case 4:
					time.Sleep(time.Duration(r.IntN(100)) * time.Second)
				case 5:
					if r.IntN(4) == 0 {
						b, _ := f.log.Bounds(context.Background())
						f.log.TruncateBefore(b.First + eventlog.Offset(r.IntN(3)))
					}
				case 6:
					mu.Lock()
					claimers[host].stop()
					claimers[host] = f.start(host)
					mu.Unlock()
				default:
					pause := time.Duration(r.IntN(2)*r.IntN(200)) * time.Second
					calls.Go(func() { request(own, host, pause) })
					time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
				}
			}
			f.svc.SetOutage(false)
			calls.Wait()
			for _, c := range claimers {
				c.stop()
			}
			if seed == 0 {
				must.MapLen(t, 3, found)
			}
		})
	}
}

// A daemon that begins late folds only what the log still holds. As soon as
// what it read attests that the rest had ended, it must agree with one that
// read everything, on every key and also where claims raced.
func TestIndexesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := make([]eventlog.Record, rapid.IntRange(1, 20).Draw(t, "records"))
		digests := rapid.SliceOfN(rapid.ByteMax(3), 0, 4)
		for i := range records {
			pb := &oncepb.ClaimBatch{
				RuleVersion: claimsRuleVersion, LifetimeSeconds: 7200, Host: fmt.Sprint(i),
			}
			if rapid.IntRange(0, 3).Draw(t, "attests") == 0 {
				pb.Horizon = rapid.Uint64Max(uint64(i+3)).Draw(t, "horizon")
			}
			for n, d := range digests.Draw(t, "digests") {
				digest := claimDigest{d}
				pb.Claims = append(pb.Claims, &oncepb.Claim{Digest: digest[:], Serial: uint64(n + 1)})
			}
			data, err := proto.Marshal(pb)
			must.NoError(t, err)
			records[i] = eventlog.Record{Offset: eventlog.Offset(i + 1), Data: data}
		}
		whole := newClaimIndex(1, 2*time.Hour)
		first := eventlog.Offset(rapid.IntRange(1, len(records)).Draw(t, "first"))
		late := newClaimIndex(first, 2*time.Hour)
		for _, r := range records {
			must.NoError(t, whole.apply(r))
			must.Less(t, r.Offset, whole.horizon)
			must.ErrorIs(t, whole.apply(r), errClaimsGap)
			if r.Offset < first {
				continue
			}
			must.NoError(t, late.apply(r))
			if !late.complete() {
				continue
			}
			must.Eq(t, whole.liveClaims, late.liveClaims)
			for d := range byte(4) {
				k1, ok1 := whole.lookup(claimDigest{d})
				k2, ok2 := late.lookup(claimDigest{d})
				must.Eq(t, ok1, ok2)
				must.Eq(t, k1, k2)
			}
		}
	})
}
