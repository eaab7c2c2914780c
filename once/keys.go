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

// KeyStoreOptions configures a KeyStore.
type KeyStoreOptions struct {
	// Host and Boot identify this daemon process, the holder of the keys that it issues.
	Host string
	Boot uint64
	// Bounds apply to the calls under all keys together. KeepFor is how long a
	// duplicate request receives the stored response.
	Bounds Bounds
	// Lifetime is the minimum time for which a key may be used after it was issued. The
	// maximum is 1/64 longer. No call starts under an expired key.
	Lifetime time.Duration
	// MaxKeys is the maximum number of keys issued within two lifetimes. Each used key
	// takes one bit of memory.
	MaxKeys int
	// MaxIssue is the maximum number of keys that one call of Issue returns.
	MaxIssue int
	// Now returns the current time. Only differences between times are used.
	Now func() time.Time
}

// DefaultKeyStoreOptions returns options that limit a KeyStore to about 80 MB of memory.
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

// KeyStore issues idempotency keys and records the calls that run under them. It is safe
// for concurrent use. Keys are spread over shards, each with its own lock.
//
// At most one call runs under a key: the bit for the key's serial number is set before the
// call starts, and is retained longer than the entry with the response. The bit is dropped
// only one lifetime after the key expired, and no call starts under an expired key. Until
// then, a serial number without a bit proves that no call has run under the key.
// Afterwards, the outcome is unknown.
type KeyStore struct {
	opts      KeyStoreOptions
	clock     clock
	serials   *serials
	tagCipher cipher.Block
	shards    [keyShards]keyShard
}

// keyShards is the number of shards of a KeyStore.
const keyShards = 16

// keyShard holds the keys whose serial numbers are congruent modulo keyShards.
type keyShard struct {
	mu sync.Mutex
	// usedSerials contains serial/keyShards for each key under which a call has run or may have
	// run.
	usedSerials bitset
	calls       *callTable
	tagBuffer   aesBlock
}

// aesBlock is a buffer for the computation of a tag. Keeping it in the shard avoids an
// allocation: a local variable would escape to the heap.
type aesBlock [aes.BlockSize]byte

// NewKeyStore returns a KeyStore that has issued no keys.
func NewKeyStore(opts KeyStoreOptions) *KeyStore {
	k := &KeyStore{opts: opts, clock: newClock(opts.Now), serials: newSerials(opts.Lifetime, opts.MaxKeys)}
	var secret [16]byte
	_, _ = rand.Read(secret[:]) // Never returns an error.
	k.tagCipher, _ = aes.NewCipher(secret[:])
	bounds := opts.Bounds.split(keyShards)
	for i := range k.shards {
		k.shards[i].usedSerials = newBitset()
		k.shards[i].calls = newCallTable(bounds, func(uint64) {})
	}
	return k
}

// MaxLifetime returns the maximum time for which a key may be used after it was issued.
func (k *KeyStore) MaxLifetime() time.Duration { return k.opts.Lifetime + k.serials.epochLength() }

// Issue returns up to n new keys. It returns fewer, possibly none, if n exceeds MaxIssue or
// the number of issued keys reaches MaxKeys.
func (k *KeyStore) Issue(n int) []Key {
	first, got := k.serials.issue(min(n, k.opts.MaxIssue), k.clock.elapsed())
	keys := make([]Key, got)
	var block aesBlock
	for i := range keys {
		serial := first + uint64(i)
		keys[i] = Key{host: k.opts.Host, boot: k.opts.Boot, serial: serial, tag: k.tag(serial, &block)}
	}
	return keys
}

// tag returns the authentication tag of a serial number, which proves that this KeyStore
// issued the number. Without it, a customer could use up the keys of other customers by
// counting through serial numbers.
func (k *KeyStore) tag(serial uint64, block *aesBlock) uint32 {
	*block = aesBlock{}
	binary.LittleEndian.PutUint64(block[:], serial)
	k.tagCipher.Encrypt(block[:], block[:])
	return binary.LittleEndian.Uint32(block[:])
}

// Begin starts the call of a request under a key, or returns the stored response if the
// call has already run. The kind of the error is one of:
//
//   - KeyUnknown: no call has run under the key, and none ever will.
//   - KeyMismatch: the key was used with a request of another fingerprint.
//   - KeyInProgress: the call of an earlier request under the key is running.
//   - OutcomeUnknown: the call may have run, or ran but its response is not stored.
//   - Overloaded: the call has not run, and the key may be used again.
//
// If Begin returns an Execution, the caller must finish it.
func (k *KeyStore) Begin(key Key, fp Fingerprint) (*Execution, *Response, error) {
	e, resp, _, err := k.begin(key, fp)
	return e, resp, err
}

// BeginOrWait is like Begin, but waits for a running call under the key to end. It returns
// KeyInProgress only if ctx is done before. If the call turns out not to have run, one of
// the waiting requests starts it.
func (k *KeyStore) BeginOrWait(ctx context.Context, key Key, fp Fingerprint) (*Execution, *Response, error) {
	for {
		e, resp, w, err := k.begin(key, fp)
		if w == nil {
			return e, resp, err
		}
		select {
		case <-w.done:
		case <-ctx.Done():
			return nil, nil, err
		}
		if w.state != barred {
			resp, err = storedResponse(w.state, w.response)
			return nil, resp, err
		}
	}
}

// begin implements Begin. With a KeyInProgress error, it also returns the completion to
// wait for.
func (k *KeyStore) begin(key Key, fp Fingerprint) (*Execution, *Response, *completion, error) {
	s := &k.shards[key.serial%keyShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := k.checkIssued(key, &s.tagBuffer); err != nil {
		return nil, nil, nil, err
	}
	// Read the time under the lock. A request that was paused after an earlier reading
	// would treat a key whose bit has been dropped meanwhile as unused, and run it again.
	now := k.clock.elapsed()
	lim := k.serials.limitsAt(now)
	s.calls.evict(now)
	s.usedSerials.dropBelow(lim.droppedBelow / keyShards)
	if e := s.calls.entries[key.serial]; e != nil {
		return handleDuplicate(e, fp)
	}
	if err := s.checkStartable(key.serial, lim); err != nil {
		return nil, nil, nil, err
	}
	s.usedSerials.set(key.serial / keyShards)
	e := s.calls.begin(key.serial, fp)
	return &Execution{keys: k, serial: key.serial, entry: e}, nil, nil, nil
}

// checkIssued returns an error if this KeyStore did not issue the key.
func (k *KeyStore) checkIssued(key Key, block *aesBlock) error {
	switch {
	case key.host != k.opts.Host || key.boot != k.opts.Boot:
		return errkind.New(errkind.OutcomeUnknown, "the daemon process that issued the idempotency key no longer runs")
	case key.serial == 0 || key.serial >= k.serials.next.Load() || key.tag != k.tag(key.serial, block):
		return errkind.New(errkind.KeyUnknown, "the idempotency key was never issued: "+keyHelp)
	}
	return nil
}

// handleDuplicate returns the result of a request under a key that has an entry.
func handleDuplicate(e *entry, fp Fingerprint) (*Execution, *Response, *completion, error) {
	if e.fp != fp {
		return nil, nil, nil, errkind.New(errkind.KeyMismatch, "the idempotency key was used with a different request")
	}
	if e.state == running {
		return nil, nil, e.subscribe(), errkind.New(errkind.KeyInProgress, "the first request under this idempotency key is still running")
	}
	resp, err := storedResponse(e.state, e.response)
	return nil, resp, nil, err
}

// storedResponse returns the stored response of an ended call, or an error if there is none.
func storedResponse(s state, resp *Response) (*Response, error) {
	switch {
	case s != ran:
		return nil, errkind.New(errkind.OutcomeUnknown, "it is unknown whether the first request under this idempotency key ran")
	case resp == nil:
		return nil, errkind.New(errkind.OutcomeUnknown, "the request under this idempotency key ran, but its response is not stored")
	}
	return resp, nil
}

// checkStartable returns an error if no call may start under a key without an entry.
func (s *keyShard) checkStartable(serial uint64, lim *limits) error {
	switch {
	case serial < lim.droppedBelow:
		return errkind.New(errkind.OutcomeUnknown, "the idempotency key expired too long ago to determine whether it was used")
	case s.usedSerials.has(serial / keyShards):
		return errkind.New(errkind.OutcomeUnknown, "the idempotency key was used before, but the outcome is no longer stored")
	case serial < lim.expiredBelow:
		return errkind.New(errkind.KeyUnknown, "the idempotency key expired unused: "+keyHelp)
	case s.calls.full():
		return errkind.New(errkind.Overloaded, "too many calls with idempotency keys are running at this daemon")
	}
	return nil
}

// Execution is the one execution of a call under a key. The first call of one of its
// methods finishes it and sets the outcome. Later calls have no effect, so a caller can
// defer FinishUnknown as a safeguard.
type Execution struct {
	keys   *KeyStore
	serial uint64
	entry  *entry
}

// Finish ends a call that ran. resp is nil if the response is too large to be stored.
func (e *Execution) Finish(resp *Response) {
	e.finish(func(s *keyShard) { s.calls.end(e.serial, e.entry, ran, resp, e.keys.clock.elapsed()) })
}

// FinishUnknown ends a call that may or may not have run.
func (e *Execution) FinishUnknown() {
	e.finish(func(s *keyShard) { s.calls.end(e.serial, e.entry, outcomeUnknown, nil, e.keys.clock.elapsed()) })
}

// FinishNotRun ends a call that has definitely not run and never will. The key may be used
// again.
func (e *Execution) FinishNotRun() {
	e.finish(func(s *keyShard) {
		s.calls.cancel(e.serial, e.entry)
		s.usedSerials.clear(e.serial / keyShards)
	})
}

// finish calls f with the locked shard if the execution has not been finished yet.
func (e *Execution) finish(f func(s *keyShard)) {
	s := &e.keys.shards[e.serial%keyShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.entry.state == running {
		f(s)
	}
}
