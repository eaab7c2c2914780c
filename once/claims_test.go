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

// claimCluster is a log and the daemons that resolve caller-generated keys with it. It runs in
// a synctest bubble.
type claimCluster struct {
	t    *testing.T
	svc  *memlog.Service
	log  *memlog.Stream
	boot uint64
	// scale is the divisor of all durations of minutes or hours.
	scale time.Duration

	mu sync.Mutex
	// issued contains the time when each key was issued.
	issued map[Key]time.Time
}

func newClaimCluster(t *testing.T, retain time.Duration) *claimCluster {
	opts := memlog.DefaultOptions()
	opts.RetainFor = retain
	svc := memlog.New(opts)
	return &claimCluster{t: t, svc: svc, log: svc.Stream(StreamClaims), scale: 1, issued: map[Key]time.Time{}}
}

// claimDaemon is one run of a daemon.
type claimDaemon struct {
	*ClaimResolver
	keys *KeyStore
	stop func()
}

// recordingIssuer records when keys are issued.
type recordingIssuer struct {
	*KeyStore
	f *claimCluster
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

func (f *claimCluster) start(host string) *claimDaemon {
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
	return &claimDaemon{ClaimResolver: c, keys: keys, stop: func() {
		cancel()
		must.NoError(f.t, <-done)
	}}
}

// claim resolves a caller-generated key with a timeout of one second.
func (c *claimDaemon) claim(callerKey string) (Key, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return c.Resolve(ctx, "garage-9", callerKey)
}

func (f *claimCluster) run(name string, test func(t *testing.T, f *claimCluster, a, b *claimDaemon)) {
	f.t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := newClaimCluster(t, 0)
			a, b := g.start("a"), g.start("b")
			defer a.stop()
			defer b.stop()
			synctest.Wait()
			test(t, g, a, b)
		})
	})
}

// A caller sends a request under a caller-generated key through two daemons while the log is
// faulty. Both daemons must resolve the key to the same holder or return an error: two holders
// would run the call twice.
func TestClaimsUnderFaults(t *testing.T) {
	f := &claimCluster{t: t}
	f.run("race", func(t *testing.T, f *claimCluster, a, b *claimDaemon) {
		var got [20]Key
		var wg sync.WaitGroup
		for i := range got {
			wg.Go(func() { got[i], _ = []*claimDaemon{a, b}[i%2].claim("k") })
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
	f.run("lost response", func(t *testing.T, f *claimCluster, a, b *claimDaemon) {
		f.svc.LoseResponses(1)
		first, err := a.claim("k")
		must.NoError(t, err)
		synctest.Wait()
		again, err := b.claim("k")
		must.NoError(t, err)
		must.Eq(t, first, again)
		must.Eq(t, 1, f.svc.Counters().Appends)
	})
	f.run("lost request", func(t *testing.T, f *claimCluster, a, b *claimDaemon) {
		f.svc.LoseRequests(1)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := a.Resolve(ctx, "garage-9", "k")
		must.NoError(t, err)
	})
	f.run("append takes effect after the request timed out", func(t *testing.T, f *claimCluster, a, b *claimDaemon) {
		release := f.svc.Hold()
		_, err := a.claim("k")
		must.Eq(t, errkind.KeyUnresolved, errkind.Of(err))
		must.Eq(t, errkind.RunUnknown, errkind.Of(err).Response().Run)
		release()
		time.Sleep(time.Minute)
		k, err := b.claim("k")
		must.NoError(t, err)
		host, _ := k.Holder()
		must.Eq(t, "a", host)
		// No call has run under the key, so the retry runs.
		_, _, err = a.keys.Begin(k, Fingerprint{1})
		must.NoError(t, err)
	})
	f.run("outage", func(t *testing.T, f *claimCluster, a, b *claimDaemon) {
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
	f.run("many share appends", func(t *testing.T, f *claimCluster, a, b *claimDaemon) {
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

// The log loses records younger than the lifetime of claims, at its start or at its end. A
// daemon that starts afterwards, or that had read the records, may miss the claim of a key
// under which a call has run. It must reject new claims for one lifetime, with the remaining
// time as retry-after.
func TestNewClaimsAreRejectedAfterLogLoss(t *testing.T) {
	cases := map[string]struct {
		lose    func(f *claimCluster)
		rejects bool
	}{
		"nothing lost":                 {func(*claimCluster) {}, false},
		"truncated too early":          {func(f *claimCluster) { f.log.TruncateBefore(2) }, true},
		"whole log truncated":          {func(f *claimCluster) { f.log.TruncateBefore(10) }, true},
		"end lost, idle":               {func(f *claimCluster) { f.log.TruncateEnd(2) }, true},
		"truncated after the lifetime": {func(f *claimCluster) { time.Sleep(3 * time.Hour); f.log.TruncateBefore(2) }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newClaimCluster(t, 0)
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
				callerKey := "new"
				if name == "end lost, idle" {
					// Other daemons may claim the key of a lost record that a has read.
					b, callerKey = a, "2"
				}
				_, err := b.claim(callerKey)
				if !c.rejects {
					must.NoError(t, err)
					return
				}
				must.Eq(t, errkind.KeyUnresolved, errkind.Of(err))
				time.Sleep(errkind.RetryAfterOf(err) - time.Second)
				_, err = b.claim(callerKey)
				must.Eq(t, errkind.KeyUnresolved, errkind.Of(err))
				time.Sleep(time.Minute)
				_, err = b.claim(callerKey)
				must.NoError(t, err)
			})
		})
	}
}

// The log loses its last records and grows again before the next read. The append detects the
// loss, because its offset is below that of a record that was read.
func TestAppendDetectsLogTruncation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newClaimCluster(t, 0)
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

// Daemons with different settings would expire claims at different records, and so resolve a
// key to different holders. A daemon that reads such a record must stop resolving keys.
func TestIncompatibleRecordsStopResolution(t *testing.T) {
	for _, pb := range []*oncepb.ClaimBatch{
		{RuleVersion: claimsRuleVersion + 1, LifetimeSeconds: 7200},
		{RuleVersion: claimsRuleVersion, LifetimeSeconds: 3600},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newClaimCluster(t, 0)
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

// A resolver rejects malformed keys, claims above MaxPending or MaxClaims, and a Lifetime that
// is too short.
func TestClaimLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newClaimCluster(t, 0)
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
		for _, callerKey := range []string{"1", "2"} {
			_, err = a.claim(callerKey)
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

// resolution is the result of resolving a caller-generated key.
type resolution struct {
	key Key
	// beganAt is when a call began under the key, or zero if none did.
	beganAt time.Time
}

// Caller-generated keys are resolved by three daemons that restart and pause at random, over a
// log with outages, delays, lost requests, lost responses, and truncation both on time and too
// early. A key must not map to a second issued key within the lifetime of the first claim, and
// no second call may run under it within that lifetime less the lifetime of an issued key.
func TestClaimsAreUniqueUnderRandomFaults(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			f := newClaimCluster(t, 5*time.Minute)
			f.scale = 60
			const lifetime = 2 * time.Minute
			hosts := []string{"a", "b", "c"}
			claimers := map[string]*claimDaemon{}
			for _, h := range hosts {
				claimers[h] = f.start(h)
			}
			var mu sync.Mutex
			found := map[string]map[Key]*resolution{}
			var calls sync.WaitGroup
			at := func(host string) *claimDaemon {
				mu.Lock()
				defer mu.Unlock()
				return claimers[host]
			}
			request := func(callerKey, host string, pause time.Duration) {
				k, err := at(host).claim(callerKey)
				if err != nil {
					return
				}
				now := time.Now()
				mu.Lock()
				if found[callerKey] == nil {
					found[callerKey] = map[Key]*resolution{}
				}
				res := found[callerKey][k]
				if res == nil {
					res = &resolution{key: k}
					found[callerKey][k] = res
				}
				f.mu.Lock()
				young := 0
				for other := range found[callerKey] {
					if now.Sub(f.issued[other]) < lifetime {
						young++
					}
				}
				f.mu.Unlock()
				mu.Unlock()
				must.LessEq(t, 1, young, must.Sprintf("seed %d: caller-generated key maps to two issued keys", seed))
				time.Sleep(pause)
				holder, _ := k.Holder()
				mu.Lock()
				defer mu.Unlock()
				if _, _, err := claimers[holder].keys.Begin(k, Fingerprint{1}); err != nil {
					return
				}
				for _, other := range found[callerKey] {
					if !other.beganAt.IsZero() {
						must.Less(t, time.Since(other.beganAt), lifetime-claimers[holder].keys.MaxLifetime())
					}
				}
				res.beganAt = time.Now()
			}
			for range 150 {
				switch callerKey, host := fmt.Sprint(r.IntN(3)), hosts[r.IntN(3)]; r.IntN(14) {
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
					calls.Go(func() { request(callerKey, host, pause) })
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

// A daemon that starts late applies only the records that the log still holds. As soon as a
// horizon proves that the claims in earlier records have expired, its index must agree with one
// that applied all records, for every digest and also after concurrent claims.
func TestLateIndexAgreesWithFullIndex(t *testing.T) {
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
