package once

import (
	"context"
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/binary"
	"sync"
	"time"

	"github.com/crocuscross/crocuscross/errkind"
)

// KeyStoreOptions holds the bounds of a Keys.
type KeyStoreOptions struct {
	// Host and Boot are what the keys name as their holder.
	Host string
	Boot uint64
	// Bounds hold for the calls under all keys. KeepFor is how long a repeat
	// gets the first answer.
	Bounds Bounds
	// Lifetime is how long a key may be used after its issue, at least; the
	// most is a 64th above that. An expired key never runs again.
	Lifetime time.Duration
	// MaxKeys bounds the keys issued within two lifetimes; each takes a bit
	// once it is used.
	MaxKeys int
	// MaxIssue bounds the keys issued at once.
	MaxIssue int
	Now      func() time.Time
}

// DefaultKeyStoreOptions bound the table to some 80 MB.
func DefaultKeyStoreOptions(host string, boot uint64) KeyStoreOptions {
	return KeyStoreOptions{
		Host: host,
		Boot: boot,
		Bounds: Bounds{
			KeepFor:          15 * time.Minute,
			MaxRecords:       128 << 10,
			MaxRunning:       16 << 10,
			MaxBytes:         64 << 20,
			MaxResponseBytes: 256 << 10,
		},
		Lifetime: time.Hour,
		MaxKeys:  16 << 20,
		MaxIssue: 1000,
		Now:      time.Now,
	}
}

// KeyStore issues idempotency keys and is the table of the calls run under them.
// It is safe for concurrent use; calls under different keys seldom share a
// lock.
//
// A key runs at most once: a bit is set for its number before it runs and
// outlives the record of its answer. It is dropped only a lifetime after the
// key has expired, and an expired key never runs. A number without a bit is
// therefore certain not to have run until then, and afterwards unknown.
type KeyStore struct {
	opts    KeyStoreOptions
	clock   clock
	serials *serials
	tags    cipher.Block
	shards  [keyShards]keyShard
}

const keyShards = 16

// keyShard holds the keys whose number leaves the same rest.
type keyShard struct {
	mu sync.Mutex
	// begun has the number's quotient for each key that has run or may have.
	begun  bitset
	ledger *ledger
	block  tagBlock
}

// tagBlock is room to work out a tag in; on the stack it would escape.
type tagBlock [aes.BlockSize]byte

// NewKeyStore returns a table that has issued nothing.
func NewKeyStore(opts KeyStoreOptions) *KeyStore {
	k := &KeyStore{opts: opts, clock: newClock(opts.Now), serials: newSerials(opts.Lifetime, opts.MaxKeys)}
	var secret [16]byte
	_, _ = rand.Read(secret[:]) // It never fails.
	k.tags, _ = aes.NewCipher(secret[:])
	bounds := opts.Bounds.split(keyShards)
	for i := range k.shards {
		k.shards[i].begun = newBitset()
		k.shards[i].ledger = newLedger(bounds, func(uint64) {})
	}
	return k
}

// MaxLifetime returns how long a key may still be used after its issue, at most.
func (k *KeyStore) MaxLifetime() time.Duration { return k.opts.Lifetime + k.serials.epochTime() }

// Issue returns up to n new keys: fewer where n is above MaxIssue or MaxKeys
// are out, none at the worst.
func (k *KeyStore) Issue(n int) []Key {
	first, got := k.serials.issue(min(n, k.opts.MaxIssue), k.clock.elapsed())
	keys := make([]Key, got)
	var block tagBlock
	for i := range keys {
		serial := first + uint64(i)
		keys[i] = Key{host: k.opts.Host, boot: k.opts.Boot, serial: serial, tag: k.tag(serial, &block)}
	}
	return keys
}

// tag proves that this table issued a number. Without it one customer could
// use up the keys of others by counting.
func (k *KeyStore) tag(serial uint64, block *tagBlock) uint32 {
	*block = tagBlock{}
	binary.LittleEndian.PutUint64(block[:], serial)
	k.tags.Encrypt(block[:], block[:])
	return binary.LittleEndian.Uint32(block[:])
}

// Begin starts the call of a request under a key, or returns the kept answer
// of the request's first run. The error's kind is KeyUnknown (the key never ran
// and never will), KeyMismatch, KeyInProgress, OutcomeUnknown (it may have run,
// or did and its answer is not kept), or Overloaded (not run, the key may be
// used again). Whoever gets an Execution must end it.
func (k *KeyStore) Begin(key Key, fp Fingerprint) (*Execution, *Response, error) {
	e, ans, _, err := k.begin(key, fp)
	return e, ans, err
}

// BeginOrWait is Begin for a request that can wait for the first one to end:
// it returns KeyInProgress only once ctx is done. Where the first one proves
// not to have run, one of those who wait gets to run the call.
func (k *KeyStore) BeginOrWait(ctx context.Context, key Key, fp Fingerprint) (*Execution, *Response, error) {
	for {
		e, ans, w, err := k.begin(key, fp)
		if w == nil {
			return e, ans, err
		}
		select {
		case <-w.done:
		case <-ctx.Done():
			return nil, nil, err
		}
		if w.state != barred {
			ans, err = replay(w.state, w.answer)
			return nil, ans, err
		}
	}
}

// begin returns what to wait for beside a KeyInProgress.
func (k *KeyStore) begin(key Key, fp Fingerprint) (*Execution, *Response, *waiting, error) {
	s := &k.shards[key.serial%keyShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := k.checkIssued(key, &s.block); err != nil {
		return nil, nil, nil, err
	}
	// The time is read under the lock. A request that was paused with an older
	// one would take a number whose bit has been dropped meanwhile for one that
	// may run.
	now := k.clock.elapsed()
	lim := k.serials.at(now)
	s.ledger.trim(now)
	s.begun.dropBelow(lim.forgotten / keyShards)
	if e := s.ledger.entries[key.serial]; e != nil {
		return repeat(e, fp)
	}
	if err := s.mayRun(key.serial, lim); err != nil {
		return nil, nil, nil, err
	}
	s.begun.set(key.serial / keyShards)
	e := s.ledger.begin(key.serial, fp)
	return &Execution{keys: k, serial: key.serial, entry: e}, nil, nil, nil
}

// checkIssued refuses a key that this table did not issue.
func (k *KeyStore) checkIssued(key Key, block *tagBlock) error {
	switch {
	case key.host != k.opts.Host || key.boot != k.opts.Boot:
		return errkind.New(errkind.OutcomeUnknown, "the process that issued the idempotency key is gone")
	case key.serial == 0 || key.serial >= k.serials.next.Load() || key.tag != k.tag(key.serial, block):
		return errkind.New(errkind.KeyUnknown, "the idempotency key was never issued: "+howToGetAKey)
	}
	return nil
}

// repeat answers a request under a key that is in the ledger.
func repeat(e *entry, fp Fingerprint) (*Execution, *Response, *waiting, error) {
	if e.fp != fp {
		return nil, nil, nil, errkind.New(errkind.KeyMismatch, "the idempotency key was used with a different request")
	}
	if e.state == running {
		return nil, nil, e.join(), errkind.New(errkind.KeyInProgress, "the first request under this idempotency key still runs")
	}
	ans, err := replay(e.state, e.answer)
	return nil, ans, nil, err
}

// replay returns the first answer, or why there is none.
func replay(s state, ans *Response) (*Response, error) {
	switch {
	case s != ran:
		return nil, errkind.New(errkind.OutcomeUnknown, "whether the first request under this idempotency key ran is unknown")
	case ans == nil:
		return nil, errkind.New(errkind.OutcomeUnknown, "the request under this idempotency key ran, its answer is not kept")
	}
	return ans, nil
}

// mayRun decides about a key that is not in the ledger.
func (s *keyShard) mayRun(serial uint64, lim *limits) error {
	switch {
	case serial < lim.forgotten:
		return errkind.New(errkind.OutcomeUnknown, "the idempotency key expired too long ago to tell whether it was used")
	case s.begun.has(serial / keyShards):
		return errkind.New(errkind.OutcomeUnknown, "the idempotency key was used before, how that ended is no longer kept")
	case serial < lim.expired:
		return errkind.New(errkind.KeyUnknown, "the idempotency key expired unused: "+howToGetAKey)
	case s.ledger.full():
		return errkind.New(errkind.Overloaded, "too many calls with idempotency keys run here")
	}
	return nil
}

// Execution is the one run of a call under a key. The first of its methods to
// be called ends it and decides; later ones do nothing, so that Unknown can be
// deferred as a safeguard.
type Execution struct {
	keys   *KeyStore
	serial uint64
	entry  *entry
}

// Finish ends a call that ran. A nil answer means that the answer was too
// large to be kept.
func (e *Execution) Finish(ans *Response) {
	e.end(func(s *keyShard) { s.ledger.end(e.serial, e.entry, ran, ans, e.keys.clock.elapsed()) })
}

// FinishUnknown ends a call that may or may not have run.
func (e *Execution) FinishUnknown() {
	e.end(func(s *keyShard) { s.ledger.end(e.serial, e.entry, unsure, nil, e.keys.clock.elapsed()) })
}

// FinishNotRun ends a call that has certainly not run and never will. The key may be
// used again.
func (e *Execution) FinishNotRun() {
	e.end(func(s *keyShard) {
		s.ledger.cancel(e.serial, e.entry)
		s.begun.clear(e.serial / keyShards)
	})
}

func (e *Execution) end(f func(s *keyShard)) {
	s := &e.keys.shards[e.serial%keyShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.entry.state == running {
		f(s)
	}
}
