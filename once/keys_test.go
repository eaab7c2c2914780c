package once

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/crocuscross/crocuscross/errkind"
)

// smallKeyStore returns options with which a KeyStore evicts entries and expires keys soon.
func smallKeyStore(host string, boot uint64, now func() time.Time) KeyStoreOptions {
	return KeyStoreOptions{
		Host: host, Boot: boot,
		Bounds: Bounds{
			KeepFor: 20 * time.Second, MaxRecords: keyShards, MaxRunning: 4 * keyShards,
			MaxBytes: 100 * keyShards, MaxResponseBytes: 100,
		},
		Lifetime: 64 * time.Second, MaxKeys: 100, MaxIssue: 20, Now: now,
	}
}

// keysModel records the actual outcome of each key on two hosts, across restarts of their
// daemons.
type keysModel struct {
	clock   *manualClock
	boots   uint64
	hosts   map[string]*KeyStore
	keys    []*modelKey
	running []modelRun
}

type modelKey struct {
	key    Key
	issued time.Time
	// fp, ended and response describe the one run under the key. fp is zero if there is
	// none.
	fp       Fingerprint
	ended    bool
	response *Response
	// neverRuns is set once the key was reported as never run.
	neverRuns bool
}

type modelRun struct {
	k *modelKey
	e *Execution
}

func newKeysModel() *keysModel {
	m := &keysModel{clock: newManualClock(), hosts: map[string]*KeyStore{}}
	m.start("a")
	m.start("b")
	return m
}

func (m *keysModel) start(host string) {
	m.boots++
	m.hosts[host] = NewKeyStore(smallKeyStore(host, m.boots, m.clock.Now))
}

func drawHost(t *rapid.T) string { return rapid.SampledFrom([]string{"a", "b"}).Draw(t, "host") }

func (m *keysModel) restart(t *rapid.T) { m.start(drawHost(t)) }

func (m *keysModel) issue(t *rapid.T) {
	for _, k := range m.hosts[drawHost(t)].Issue(rapid.IntRange(1, 30).Draw(t, "n")) {
		m.keys = append(m.keys, &modelKey{key: k, issued: m.clock.Now()})
	}
}

// begin sends a request under a key to its holder, or to another host because of an outdated
// view of the membership.
func (m *keysModel) begin(t *rapid.T) {
	if len(m.keys) == 0 {
		return
	}
	k := rapid.SampledFrom(m.keys).Draw(t, "key")
	host, boot := k.key.Holder()
	if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
		host = drawHost(t)
	}
	fp := Fingerprint{byte(rapid.IntRange(1, 2).Draw(t, "fp"))}
	table := m.hosts[host]
	e, resp, err := table.Begin(k.key, fp)
	switch kind := errkind.Of(err); {
	case e != nil:
		must.Eq(t, Fingerprint{}, k.fp, must.Sprint("a key ran twice"))
		must.False(t, k.neverRuns, must.Sprint("a key ran after it was reported as never run"))
		must.Less(t, table.MaxLifetime(), m.clock.Now().Sub(k.issued))
		k.fp = fp
		m.running = append(m.running, modelRun{k, e})
	case resp != nil:
		must.True(t, k.ended)
		must.Eq(t, k.fp, fp)
		must.Eq(t, k.response, resp)
	case kind == errkind.KeyUnknown:
		must.Eq(t, Fingerprint{}, k.fp, must.Sprint("a key was reported as never run but ran"))
		must.Less(t, m.clock.Now().Sub(k.issued), 64*time.Second)
		k.neverRuns = true
	case kind == errkind.KeyMismatch:
		must.NotEq(t, Fingerprint{}, k.fp)
		must.NotEq(t, k.fp, fp)
	case kind == errkind.KeyInProgress:
		must.False(t, k.ended)
		must.Eq(t, k.fp, fp)
	case kind == errkind.OutcomeUnknown:
		gone := table.opts.Boot != boot
		old := m.clock.Now().Sub(k.issued) >= 2*64*time.Second
		must.True(t, gone || old || k.fp != Fingerprint{}, must.Sprint("the outcome is reported as unknown but is known"))
	default:
		must.Eq(t, errkind.Overloaded, kind)
	}
}

func (m *keysModel) end(t *rapid.T) {
	r, ok := drawAndRemove(t, &m.running)
	if !ok {
		return
	}
	r.k.ended = true
	switch rapid.IntRange(0, 4).Draw(t, "how") {
	case 0:
		r.e.FinishUnknown()
	case 1:
		r.e.FinishNotRun()
		r.k.fp, r.k.ended = Fingerprint{}, false
	case 2:
		r.e.Finish(nil)
	default:
		r.k.response = &Response{Status: 200, Body: []byte(r.k.key.String()[:10])}
		r.e.Finish(r.k.response)
	}
	// A deferred FinishUnknown has no effect.
	r.e.FinishUnknown()
}

// burst runs a few calls to completion, so that entries have to be evicted.
func (m *keysModel) burst(t *rapid.T) {
	m.issue(t)
	for range rapid.IntRange(1, 8).Draw(t, "calls") {
		m.begin(t)
		m.end(t)
	}
}

func (m *keysModel) advanceClock(t *rapid.T) {
	m.clock.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
}

func (m *keysModel) checkBounds(t *rapid.T) {
	for _, k := range m.hosts {
		for i := range k.shards {
			s := &k.shards[i]
			must.LessEq(t, 1+4, len(s.calls.entries))
			must.LessEq(t, 100, s.calls.responseBytes)
		}
		must.LessEq(t, 100, k.serials.next.Load()-k.serials.limits.Load().droppedBelow)
	}
}

// Callers repeat requests under keys through both daemons while calls end in every way, entries
// are evicted, keys expire and daemons restart. At most one call runs under each key, a
// duplicate receives the first response or an error, and no call runs under a key that is
// reported as never run, neither before nor after.
func TestKeysRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newKeysModel()
		t.Repeat(map[string]func(*rapid.T){
			"issue": m.issue, "begin": m.begin, "begin2": m.begin, "burst": m.burst, "end": m.end, "end2": m.end,
			"pass": m.advanceClock, "restart": m.restart, "": m.checkBounds,
		})
	})
}

// Duplicate requests of many goroutines race while calls end in every way, time passes and
// entries are evicted. At most one run under each key may end other than with FinishNotRun.
func TestKeysRunAtMostOnceConcurrently(t *testing.T) {
	clock := newManualClock()
	k := NewKeyStore(smallKeyStore("a", 1, clock.Now))
	keys := append(k.Issue(20), k.Issue(20)...)
	var runs [40]atomic.Int32
	var wg sync.WaitGroup
	for w := range 8 {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(uint64(w), 1))
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			for range 2000 {
				i := r.IntN(len(keys))
				e, _, _ := k.BeginOrWait(ctx, keys[i], Fingerprint{1})
				switch {
				case e == nil:
					clock.advance(time.Millisecond)
				case r.IntN(3) > 0:
					e.FinishNotRun()
				default:
					runs[i].Add(1)
					e.Finish(&Response{Status: 200})
				}
			}
		})
	}
	wg.Wait()
	for i := range runs {
		must.LessEq(t, 1, runs[i].Load())
	}
}

// Many requests under one key arrive while the first runs. The first calls end with
// FinishNotRun, and each time another request starts the call. Once a call has run, all waiting
// requests receive its complete response, even though the table has no room to store it.
func TestWaitersGetTheResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		opts := DefaultKeyStoreOptions("a", 1)
		opts.Bounds.MaxBytes = 0
		k := NewKeyStore(opts)
		key := k.Issue(1)[0]
		var runs, replays atomic.Int32
		for range 50 {
			go func() {
				e, resp, err := k.BeginOrWait(context.Background(), key, Fingerprint{1})
				must.NoError(t, err)
				if resp != nil {
					must.Eq(t, "held", string(resp.Body))
					replays.Add(1)
					return
				}
				time.Sleep(time.Second)
				if runs.Add(1) < 4 {
					e.FinishNotRun()
					return
				}
				e.Finish(&Response{Body: []byte("held")})
			}()
		}
		time.Sleep(time.Minute)
		must.Eq(t, 4, runs.Load())
		must.Eq(t, 46, replays.Load())
	})
}

// A request that waits for the first one has a deadline of its own. When its context is done, it
// gets KeyInProgress, which doesn't promise that the call has not run.
func TestBeginOrWaitEndsWithContext(t *testing.T) {
	k := NewKeyStore(DefaultKeyStoreOptions("a", 1))
	key := k.Issue(1)[0]
	_, _, err := k.Begin(key, Fingerprint{1})
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, _, err = k.BeginOrWait(ctx, key, Fingerprint{1})
	must.Eq(t, errkind.KeyInProgress, errkind.Of(err))
	must.Eq(t, errkind.RunUnknown, errkind.Of(err).Response().Run)
}

// A used and an unused key age: first they expire, then the KeyStore drops the bits of their
// serial numbers. At no point may the used key be reported as never run, or a call run under
// either of them.
func TestExpiredKeys(t *testing.T) {
	clock := newManualClock()
	opts := smallKeyStore("a", 1, clock.Now)
	opts.MaxKeys, opts.MaxIssue = 3*chunkBits*keyShards, 2*chunkBits*keyShards
	k := NewKeyStore(opts)
	keys := k.Issue(opts.MaxIssue)
	used, unused := keys[0], keys[1]
	e, _, err := k.Begin(used, Fingerprint{1})
	must.NoError(t, err)
	e.Finish(nil)
	kinds := func() [2]errkind.Kind {
		_, _, err1 := k.Begin(used, Fingerprint{1})
		_, _, err2 := k.Begin(unused, Fingerprint{1})
		return [2]errkind.Kind{errkind.Of(err1), errkind.Of(err2)}
	}
	clock.advance(k.MaxLifetime())
	must.Eq(t, [2]errkind.Kind{errkind.OutcomeUnknown, errkind.KeyUnknown}, kinds())
	must.Len(t, opts.MaxKeys-opts.MaxIssue, k.Issue(opts.MaxIssue))
	must.SliceEmpty(t, k.Issue(1))
	clock.advance(opts.Lifetime)
	must.Eq(t, [2]errkind.Kind{errkind.OutcomeUnknown, errkind.OutcomeUnknown}, kinds())
	must.MapEmpty(t, k.shards[used.serial%keyShards].usedSerials.chunks)
	must.Len(t, opts.MaxIssue, k.Issue(opts.MaxIssue))
}

// A key with a serial number that was never issued, or with a guessed tag for the number of
// another customer's key, is rejected and doesn't use up the issued key.
func TestGuessedKeysAreRejected(t *testing.T) {
	k := NewKeyStore(DefaultKeyStoreOptions("a", 1))
	key := k.Issue(1)[0]
	guessed, ahead := key, key
	guessed.tag++
	ahead.serial++
	for _, bad := range []Key{guessed, ahead, {host: "a", boot: 1}} {
		_, _, err := k.Begin(bad, Fingerprint{1})
		must.Eq(t, errkind.KeyUnknown, errkind.Of(err))
	}
	_, _, err := k.Begin(key, Fingerprint{1})
	must.NoError(t, err)
}

// Keys are unchanged by formatting and parsing, and a key with one changed character is rejected
// instead of being mistaken for a key of another host.
func TestKeyTextRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		host := rapid.StringMatching(`[a-z0-9.-]{1,40}`).Draw(t, "host")
		key := Key{host, rapid.Uint64().Draw(t, "boot"), rapid.Uint64Min(1).Draw(t, "serial"), rapid.Uint32().Draw(t, "tag")}
		text := key.String()
		for _, form := range []string{text, `"` + text + `"`, " " + text} {
			got, err := ParseKey(form)
			must.NoError(t, err)
			must.Eq(t, key, got)
			must.True(t, IsIssued(form))
		}
		i := rapid.IntRange(len(KeyPrefix), len(text)-1).Draw(t, "at")
		c := rapid.SampledFrom([]byte("AZaz09-_. ")).Draw(t, "char")
		changed := text[:i] + string(c) + text[i+1:]
		if got, err := ParseKey(changed); err == nil {
			must.Eq(t, key, got)
		} else {
			must.Eq(t, errkind.KeyUnknown, errkind.Of(err))
		}
	})
}

func TestParseKeyRejectsMalformedKeys(t *testing.T) {
	for _, bad := range []string{"", "order-17", KeyPrefix, KeyPrefix + "AAAA", KeyPrefix + strings.Repeat("A", maxKeyChars)} {
		_, err := ParseKey(bad)
		must.Eq(t, errkind.KeyUnknown, errkind.Of(err))
		must.Eq(t, errkind.NotRun, errkind.Of(err).Response().Run)
	}
	must.False(t, IsIssued("order-17"))
}

// The fingerprint depends on each part of a request and on the boundaries between the parts.
func TestFingerprintCoversTheRequest(t *testing.T) {
	of := func(method, target, customer, body string) Fingerprint {
		h := NewFingerprint(method, target, customer)
		_, _ = h.Write([]byte(body))
		return h.Sum()
	}
	first := of("POST", "/holds", "c", "x")
	must.Eq(t, first, of("POST", "/holds", "c", "x"))
	for _, other := range []Fingerprint{
		of("PUT", "/holds", "c", "x"), of("POST", "/holds?a", "c", "x"), of("POST", "/holds", "d", "x"),
		of("POST", "/holds", "c", "y"), of("POST", "/hold", "sc", "x"), of("POST", "/holds", "cx", ""),
	} {
		must.NotEq(t, first, other)
	}
}

// A response that exceeds the limit is not recorded in part.
func TestRecorderDropsOversizedResponses(t *testing.T) {
	r := NewRecorder(5)
	r.WriteHeader(200, []HeaderField{{"A", "b"}})
	_, _ = r.Write([]byte("abc"))
	_, _ = r.Write([]byte("de"))
	must.Eq(t, &Response{200, []HeaderField{{"A", "b"}}, []byte("abcde")}, r.Response())
	r = NewRecorder(5)
	_, _ = r.Write([]byte("abcd"))
	_, _ = r.Write([]byte("ef"))
	_, _ = r.Write([]byte("g"))
	must.Nil(t, r.Response())
}
