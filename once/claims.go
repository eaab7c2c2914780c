package once

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/internal/loop"
)

// StreamClaims is the name of the stream of claim records in the platform's log.
const StreamClaims = "claims"

// maxCallerKeyBytes is the maximum length of a caller-generated key.
const maxCallerKeyBytes = 255

// Issuer issues the keys that caller-generated keys map to.
type Issuer interface {
	// Issue returns up to n new keys.
	Issue(n int) []Key
	// MaxLifetime returns the maximum time for which a key may be used after it was
	// issued.
	MaxLifetime() time.Duration
}

// ClaimResolverOptions configures a ClaimResolver.
type ClaimResolverOptions struct {
	// Log is the stream StreamClaims.
	Log eventlog.Log
	// Keys issues the keys that this daemon claims.
	Keys Issuer
	// Lifetime is the minimum time for which a caller-generated key maps to the same
	// issued key. It must be equal on all daemons, and shorter than the log's retention.
	Lifetime time.Duration
	// StartMargin is how long after the expiry of a key a call under it may still start,
	// because the message of its attempt was in transit: at most the sum of the gates'
	// LaneIdleTimeout, their KeepFor and the maximum duration of a call.
	StartMargin time.Duration
	// MaxClaims is the number of claims in the index at which new ones are rejected. It should be
	// the rate of new caller-generated keys times Lifetime. Each claim takes about 100
	// bytes of memory at each daemon that accepts caller-generated keys.
	MaxClaims int
	// MaxPending is the maximum number of caller-generated keys that wait for the log.
	MaxPending int
	// AppendInterval is the minimum time between two appends. The claims that arrive in
	// between share the next append.
	AppendInterval time.Duration
	// AppendTimeout is the maximum duration of an append. After it, the outcome of the
	// append is unknown.
	AppendTimeout time.Duration
	// ResendAfter is how long after an append with an unknown outcome its claims are
	// appended again, unless they have been read from the log before.
	ResendAfter time.Duration
	// ReadWait is how long a read of the log waits for new records.
	ReadWait time.Duration
	// HorizonInterval is how long expired claims may stay in memory while no claims are
	// appended. After it, a record without claims is appended, on which all daemons drop
	// the expired ones. The interval is extended by a random part of itself.
	HorizonInterval time.Duration
	Logger          *slog.Logger
	// Now returns the current time. Only differences between times are used.
	Now func() time.Time
}

// DefaultClaimResolverOptions returns options that match DefaultKeyStoreOptions and
// DefaultAttemptTableOptions.
func DefaultClaimResolverOptions(log eventlog.Log, keys Issuer) ClaimResolverOptions {
	return ClaimResolverOptions{
		Log:             log,
		Keys:            keys,
		Lifetime:        2 * time.Hour,
		StartMargin:     15 * time.Minute,
		MaxClaims:       256 << 10,
		MaxPending:      4096,
		AppendInterval:  50 * time.Millisecond,
		AppendTimeout:   2 * time.Second,
		ResendAfter:     time.Second,
		ReadWait:        10 * time.Second,
		HorizonInterval: 15 * time.Minute,
		Logger:          slog.New(slog.DiscardHandler),
		Now:             time.Now,
	}
}

// ClaimResolver is a KeyResolver that maps caller-generated keys to issued keys by means of
// records in the platform's log: the first claim of a caller-generated key in log order is
// in force. A daemon decides only on the basis of records that it has read in log order. It
// needs no lease, no synchronized clocks and no other daemon, but each new caller-generated
// key requires the platform.
//
// A caller-generated key maps to one issued key for Lifetime. The issued key expires well
// before, so that a holder process that was paused cannot run a call under it once the
// caller-generated key may map to another key.
//
// Callers that must not depend on the platform should use issued keys.
type ClaimResolver struct {
	opts ClaimResolverOptions
	// writerTrigger wakes the writer when claims may be due.
	writerTrigger loop.Trigger

	mu sync.Mutex
	// index is nil until the log has been reached, and after records were lost.
	index *claimIndex
	// catchUpTo is the end of the log when the index was started. No claim is resolved
	// before the index has reached it.
	catchUpTo eventlog.Offset
	// indexStarted is when the index was started or dropped.
	indexStarted time.Time
	// recordsLost is set if the log has lost records. A horizon in later records then
	// doesn't prove that the claims in the lost records have expired.
	recordsLost bool
	// applyErr is the error of a record that cannot be applied.
	applyErr error
	// readFailingSince is when reading the log began to fail, or zero if it succeeds.
	readFailingSince time.Time
	// readPoints determines the horizon of the records that this daemon writes.
	readPoints readHistory
	pending    map[claimDigest]*pendingClaim
	// horizonRaised is when the index's horizon last rose, or when the index was started.
	horizonRaised time.Time
}

// pendingClaim is the claim of a caller-generated key that waits for the log.
type pendingClaim struct {
	digest claimDigest
	// waiters is the number of requests that wait for the claim.
	waiters int
	// key is the key that the caller-generated key maps to if this claim is the first in
	// the log. It is set if issued is true, and stays the same when the claim is appended
	// again.
	key    Key
	issued bool
	// sendAt is when the claim is to be appended, possibly again. It is ignored while sent
	// is set.
	sendAt time.Time
	sent   bool

	done chan struct{}
	// result and err are set before done is closed.
	result Key
	err    error
}

// NewClaimResolver returns a ClaimResolver, which resolves keys while Run runs. It returns
// an error if Lifetime is shorter than the maximum lifetime of issued keys plus StartMargin.
func NewClaimResolver(opts ClaimResolverOptions) (*ClaimResolver, error) {
	if least := opts.Keys.MaxLifetime() + opts.StartMargin; opts.Lifetime < least {
		return nil, errors.Newf("the lifetime of claims must be at least %s, not %s", least, opts.Lifetime)
	}
	return &ClaimResolver{opts: opts, writerTrigger: loop.NewTrigger(), pending: make(map[claimDigest]*pendingClaim)}, nil
}

// Run reads the log and appends claims to it until ctx is done. It returns nil then.
func (c *ClaimResolver) Run(ctx context.Context) error {
	var t tomb.Tomb
	t.Go(func() error {
		t.Go(func() error { return c.writeLoop(ctx) })
		return c.readLoop(ctx)
	})
	return t.Wait()
}

// Resolve implements KeyResolver. The error is errkind.KeyUnresolved if the log doesn't
// respond before ctx is done: an earlier request under the key may have run, so the error
// doesn't promise that the call has not run. The caller may send the same request again.
// The error is errkind.KeyUnknown if the key is empty or too long.
func (c *ClaimResolver) Resolve(ctx context.Context, customer, key string) (Key, error) {
	key = Unquote(key)
	if key == "" || len(key) > maxCallerKeyBytes {
		return Key{}, errkind.Newf(errkind.KeyUnknown, "an idempotency key has 1 to %d characters", maxCallerKeyBytes)
	}
	p, err := c.joinClaim(digestOf(customer, key))
	if err != nil {
		return Key{}, err
	}
	select {
	case <-p.done:
		return p.result, p.err
	case <-ctx.Done():
		c.leaveClaim(p)
		return Key{}, errkind.Wrap(errkind.KeyUnresolved, ctx.Err(), "the platform's log has not yet determined the holder of the idempotency key")
	}
}

// joinClaim returns the pending claim of a digest with the caller added to its waiters, and
// creates it if necessary. If the digest is already resolved, it returns a completed claim.
func (c *ClaimResolver) joinClaim(d claimDigest) (*pendingClaim, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Now()
	if c.canDecide(now) {
		if k, ok := c.index.lookup(d); ok {
			return resolvedClaim(k), nil
		}
	}
	if p := c.pending[d]; p != nil {
		p.waiters++
		return p, nil
	}
	if err := c.rejection(now); err != nil {
		return nil, err
	}
	p := &pendingClaim{digest: d, waiters: 1, sendAt: now, done: make(chan struct{})}
	c.pending[d] = p
	c.writerTrigger.Set()
	return p, nil
}

// resolvedClaim returns a completed claim.
func resolvedClaim(k Key) *pendingClaim {
	p := &pendingClaim{result: k, done: make(chan struct{})}
	close(p.done)
	return p
}

// leaveClaim removes a waiter from a claim, and drops the claim when no waiter is left. If
// the claim has been appended, it may still come into force when the record is read.
func (c *ClaimResolver) leaveClaim(p *pendingClaim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.waiters--
	if p.waiters == 0 && c.pending[p.digest] == p {
		delete(c.pending, p.digest)
	}
}

const (
	// logFailureTimeout is how long reads of the log may fail before requests are rejected
	// instead of waiting for the log.
	logFailureTimeout = time.Second
	// retryAfterLogFailure is the time after which a caller rejected for this reason should
	// retry.
	retryAfterLogFailure = 5 * time.Second
)

// rejection returns the error for new claims, or nil if they are accepted.
func (c *ClaimResolver) rejection(now time.Time) error {
	switch {
	case c.applyErr != nil:
		return errkind.Wrap(errkind.KeyUnresolved, c.applyErr, "this daemon cannot apply the claims of idempotency keys").WithRetryAfter(time.Minute)
	case !c.readFailingSince.IsZero() && now.Sub(c.readFailingSince) >= logFailureTimeout:
		return errkind.New(errkind.KeyUnresolved, "the platform's log, which caller-generated idempotency keys require, is unavailable").WithRetryAfter(retryAfterLogFailure)
	case c.mayMissClaims(now):
		return errkind.New(errkind.KeyUnresolved, "the platform's log has lost claims of idempotency keys").
			WithRetryAfter(c.indexStarted.Add(c.opts.Lifetime).Sub(now))
	case len(c.pending) >= c.opts.MaxPending:
		return errkind.New(errkind.KeyUnresolved, "too many caller-generated idempotency keys are waiting for the platform's log")
	case c.index != nil && c.index.liveClaims >= c.opts.MaxClaims:
		return errkind.New(errkind.KeyUnresolved, "too many caller-generated idempotency keys are in use").WithRetryAfter(time.Minute)
	}
	return nil
}

// caughtUp reports whether all records that were in the log when the index was started have
// been applied.
func (c *ClaimResolver) caughtUp() bool { return c.index != nil && c.index.next >= c.catchUpTo }

// canDecide reports whether lookups in the index give valid results.
func (c *ClaimResolver) canDecide(now time.Time) bool {
	return c.applyErr == nil && c.caughtUp() && !c.mayMissClaims(now)
}

// mayMissClaims reports whether claims that are missing from the index may still be in
// force: their records were removed from the log, no horizon proves that they have expired,
// and this daemon has not read the log for a whole Lifetime since. Resolving keys in this
// state could run a call again that ran before the records were removed.
func (c *ClaimResolver) mayMissClaims(now time.Time) bool {
	if now.Sub(c.indexStarted) >= c.opts.Lifetime {
		return false
	}
	return c.recordsLost || c.caughtUp() && !c.index.complete()
}
