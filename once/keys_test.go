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

// tinyKeys make a table forget soon.
func tinyKeys(host string, boot uint64, now func() time.Time) KeyStoreOptions {
	return KeyStoreOptions{
		Host: host, Boot: boot,
		Bounds: Bounds{
			KeepFor: 20 * time.Second, MaxRecords: keyShards, MaxRunning: 4 * keyShards,
			MaxBytes: 100 * keyShards, MaxResponseBytes: 100,
		},
		Lifetime: 64 * time.Second, MaxKeys: 100, MaxIssue: 20, Now: now,
	}
}

// keysModel is what truly became of each key on two hosts, over all lives of
// their daemons.
type keysModel struct {
	clock *manualClock
	boots uint64
	hosts map[string]*KeyStore
	keys  []*modelKey
	open  []modelRun
}

type modelKey struct {
	key    Key
	issued time.Time
	// fp, answer and whether it ended are of the one run; fp is zero while
	// there is none.
	fp     Fingerprint
	ended  bool
	answer *Response
	// dead keys were told never to run.
	dead bool
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
	m.hosts[host] = NewKeyStore(tinyKeys(host, m.boots, m.clock.Now))
}

func drawHost(t *rapid.T) string { return rapid.SampledFrom([]string{"a", "b"}).Draw(t, "host") }

func (m *keysModel) restart(t *rapid.T) { m.start(drawHost(t)) }

func (m *keysModel) issue(t *rapid.T) {
	for _, k := range m.hosts[drawHost(t)].Issue(rapid.IntRange(1, 30).Draw(t, "n")) {
		m.keys = append(m.keys, &modelKey{key: k, issued: m.clock.Now()})
	}
}

// begin sends a request under a key to its host, or to the other one by a view
// that is wrong.
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
		must.False(t, k.dead, must.Sprint("a key ran that was told never to run"))
		must.Less(t, table.MaxLifetime(), m.clock.Now().Sub(k.issued))
		k.fp = fp
		m.open = append(m.open, modelRun{k, e})
	case resp != nil:
		must.True(t, k.ended)
		must.Eq(t, k.fp, fp)
		must.Eq(t, k.answer, resp)
	case kind == errkind.KeyUnknown:
		must.Eq(t, Fingerprint{}, k.fp, must.Sprint("a key was told as never run that ran"))
		must.Less(t, m.clock.Now().Sub(k.issued), 64*time.Second)
		k.dead = true
	case kind == errkind.KeyMismatch:
		must.NotEq(t, Fingerprint{}, k.fp)
		must.NotEq(t, k.fp, fp)
	case kind == errkind.KeyInProgress:
		must.False(t, k.ended)
		must.Eq(t, k.fp, fp)
	case kind == errkind.OutcomeUnknown:
		gone := table.opts.Boot != boot
		old := m.clock.Now().Sub(k.issued) >= 2*64*time.Second
		must.True(t, gone || old || k.fp != Fingerprint{}, must.Sprint("unknown without need"))
	default:
		must.Eq(t, errkind.Overloaded, kind)
	}
}

func (m *keysModel) end(t *rapid.T) {
	r, ok := take(t, &m.open)
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
		r.k.answer = &Response{Status: 200, Body: []byte(r.k.key.String()[:10])}
		r.e.Finish(r.k.answer)
	}
	// A deferred safeguard changes nothing.
	r.e.FinishUnknown()
}

// burst runs a few calls to their end, so that records have to go.
func (m *keysModel) burst(t *rapid.T) {
	m.issue(t)
	for range rapid.IntRange(1, 8).Draw(t, "calls") {
		m.begin(t)
		m.end(t)
	}
}

func (m *keysModel) pass(t *rapid.T) {
	m.clock.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
}

func (m *keysModel) checkBounds(t *rapid.T) {
	for _, k := range m.hosts {
		for i := range k.shards {
			s := &k.shards[i]
			must.LessEq(t, 1+4, len(s.calls.entries))
			must.LessEq(t, 100, s.calls.responseBytes)
		}
		must.LessEq(t, 100, k.serials.next.Load()-k.serials.limits.Load().forgottenBelow)
	}
}

// Callers repeat requests under keys through both daemons while calls end in
// every way, records are forgotten, keys expire and daemons restart. Each key
// runs once at most, a repeat gets the first answer or none, and a key that
// is told as never run neither ran before nor runs later.
func TestKeysRunOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newKeysModel()
		t.Repeat(map[string]func(*rapid.T){
			"issue": m.issue, "begin": m.begin, "begin2": m.begin, "burst": m.burst, "end": m.end, "end2": m.end,
			"pass": m.pass, "restart": m.restart, "": m.checkBounds,
		})
	})
}

// Repeats race from many goroutines while calls end in every way, time passes
// and records are forgotten. No key has two runs that were not called off.
func TestKeysRunOnceConcurrently(t *testing.T) {
	clock := newManualClock()
	k := NewKeyStore(tinyKeys("a", 1, clock.Now))
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

// Many requests under one key arrive while the first runs. The first ones prove
// not to have run, so another takes over each time; once one has run, all who
// waited get its whole answer, though the table has no room to keep it.
func TestWaitersGetTheAnswer(t *testing.T) {
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

// A request that waits for the first one has a time of its own; when that is
// up it learns that the first still runs, which promises nothing.
func TestWaitEndsWithTheRequest(t *testing.T) {
	k := NewKeyStore(DefaultKeyStoreOptions("a", 1))
	key := k.Issue(1)[0]
	_, _, err := k.Begin(key, Fingerprint{1})
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, _, err = k.BeginOrWait(ctx, key, Fingerprint{1})
	must.Eq(t, errkind.KeyInProgress, errkind.Of(err))
	must.Eq(t, errkind.RunUnknown, errkind.Of(err).Answer().Run)
}

// A key that was used, and one that was not, grow old: first they expire, then
// the table forgets the bits of their numbers. At no point may the used one be
// told as never run, or either run again.
func TestOldKeys(t *testing.T) {
	clock := newManualClock()
	opts := tinyKeys("a", 1, clock.Now)
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
	must.MapEmpty(t, k.shards[used.serial%keyShards].used.chunks)
	must.Len(t, opts.MaxIssue, k.Issue(opts.MaxIssue))
}

// A number that was never issued, or was issued to another customer and is
// guessed, is refused before it can use up the key.
func TestGuessedKeysAreRefused(t *testing.T) {
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

// Keys survive being sent, and one changed character is told from a key that
// another host issued.
func TestKeyText(t *testing.T) {
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

func TestBadKeys(t *testing.T) {
	for _, bad := range []string{"", "order-17", KeyPrefix, KeyPrefix + "AAAA", KeyPrefix + strings.Repeat("A", maxKeyChars)} {
		_, err := ParseKey(bad)
		must.Eq(t, errkind.KeyUnknown, errkind.Of(err))
		must.Eq(t, errkind.NotRun, errkind.Of(err).Answer().Run)
	}
	must.False(t, IsIssued("order-17"))
}

// Each part of a request counts, and parts do not run together.
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

// An answer that does not fit is not kept in part.
func TestRecorderKeepsAllOrNothing(t *testing.T) {
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
