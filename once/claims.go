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

// StreamClaims is the stream that Claims keeps in the platform's log.
const StreamClaims = "claims"

// maxOwnKeyBytes bounds a key of a caller's own making.
const maxOwnKeyBytes = 255

// Issuer gives out the keys that own keys are tied to.
type Issuer interface {
	Issue(n int) []Key
	// MaxLifetime is how long a key may still be used after its issue, at most.
	MaxLifetime() time.Duration
}

// ClaimResolverOptions holds the bounds of a Claims.
type ClaimResolverOptions struct {
	// Log is the stream StreamClaims.
	Log  eventlog.Log
	Keys Issuer
	// Lifetime is how long an own key stands for the same issued key, at least.
	// It must be the same on all daemons, and shorter than the log's retention.
	Lifetime time.Duration
	// StartMargin is how long after a key's expiry a call under it may still
	// start, since its frame was under way: at most the gates' LaneIdle, their
	// KeepFor and the time of a call together.
	StartMargin time.Duration
	// MaxClaims is how many live claims there may be before no more are made:
	// the rate of new own keys times Lifetime. Each takes some 100 bytes at each
	// daemon that takes own keys.
	MaxClaims int
	// MaxPending bounds the own keys that wait for the log.
	MaxPending int
	// AppendInterval is the least time between two appends. Claims that come
	// meanwhile share the next one.
	AppendInterval time.Duration
	// AppendTimeout bounds an append; after it the outcome is unknown.
	AppendTimeout time.Duration
	// ResendAfter is how long a claim with an unknown outcome is looked for in
	// the log before it is sent again.
	ResendAfter time.Duration
	// ReadWait is how long a read waits for new records.
	ReadWait time.Duration
	// HorizonInterval is how long claims that have ended may stay in the index of
	// an idle stream before a record is written to end them.
	HorizonInterval time.Duration
	Logger          *slog.Logger
	Now             func() time.Time
}

// DefaultClaimResolverOptions match DefaultKeysOptions and DefaultAttemptsOptions.
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

// ClaimResolver is the OwnKeys that ties own keys to issued ones by records in the
// platform's log: the first claim of an own key in the order of the log holds.
// A daemon decides only by a record that it has read, after all those before
// it. It needs no lease, no clock that agrees with another's and no daemon but
// itself, and it needs the platform for each own key that is new.
//
// An own key stands for one issued key for Lifetime. The issued key expires
// well before that, so that a holder which was paused meanwhile cannot run a
// call under it once the own key may stand for another.
//
// Callers that cannot wait on the platform should use issued keys.
type ClaimResolver struct {
	opts ClaimResolverOptions
	wake loop.Trigger

	mu    sync.Mutex
	index *claimIndex
	// loaded is the end of the log when the index was begun; nothing is
	// decided before it is reached.
	loaded eventlog.Offset
	// began is when the index was begun.
	began time.Time
	// distrust is set where records were lost, so that what others attest says
	// nothing of the claims in them.
	distrust bool
	// stuck is why a record cannot be folded.
	stuck error
	// failing is since when the log could not be reached, zero if it can.
	failing time.Time
	read    readMarks
	pending map[claimDigest]*pendingClaim
	// raised is when the index's horizon last rose, or the index began.
	raised time.Time
}

// pendingClaim is an own key that waits for the log.
type pendingClaim struct {
	digest  claimDigest
	waiters int
	// key is what the own key will stand for if this claim is the first. It is
	// kept when the claim is sent again.
	key    Key
	issued bool
	// sendAt is when the claim is to be sent or sent again, unless sent is set.
	sendAt time.Time
	sent   bool

	done chan struct{}
	// Set before done is closed.
	result Key
	err    error
}

// NewClaimResolver returns a Claims that resolves own keys while Run runs.
func NewClaimResolver(opts ClaimResolverOptions) (*ClaimResolver, error) {
	if least := opts.Keys.MaxLifetime() + opts.StartMargin; opts.Lifetime < least {
		return nil, errors.Newf("claims must last for %s at least, not %s", least, opts.Lifetime)
	}
	return &ClaimResolver{opts: opts, wake: loop.NewTrigger(), pending: make(map[claimDigest]*pendingClaim)}, nil
}

// Run follows the log and makes claims until ctx is done, and returns nil
// then.
func (c *ClaimResolver) Run(ctx context.Context) error {
	var t tomb.Tomb
	t.Go(func() error {
		t.Go(func() error { return c.write(ctx) })
		return c.follow(ctx)
	})
	return t.Wait()
}

// Resolve implements OwnKeys. The error's kind is KeyUnresolved where the log
// does not answer within ctx: an earlier request under the own key may have
// run, so not even "not run" is certain. The same request may be sent again.
func (c *ClaimResolver) Resolve(ctx context.Context, customer, key string) (Key, error) {
	key = Unquote(key)
	if key == "" || len(key) > maxOwnKeyBytes {
		return Key{}, errkind.Newf(errkind.KeyUnknown, "an idempotency key has 1 to %d characters", maxOwnKeyBytes)
	}
	p, err := c.enter(digestOf(customer, key))
	if err != nil {
		return Key{}, err
	}
	select {
	case <-p.done:
		return p.result, p.err
	case <-ctx.Done():
		c.leave(p)
		return Key{}, errkind.Wrap(errkind.KeyUnresolved, ctx.Err(), "the platform's log has not told yet who runs the idempotency key")
	}
}

// enter joins or begins the claim of a digest. One that is decided already is
// returned as done.
func (c *ClaimResolver) enter(d claimDigest) (*pendingClaim, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Now()
	if c.decides(now) {
		if k, ok := c.index.lookup(d); ok {
			return resolved(k), nil
		}
	}
	if p := c.pending[d]; p != nil {
		p.waiters++
		return p, nil
	}
	if err := c.refusal(now); err != nil {
		return nil, err
	}
	p := &pendingClaim{digest: d, waiters: 1, sendAt: now, done: make(chan struct{})}
	c.pending[d] = p
	c.wake.Set()
	return p, nil
}

func resolved(k Key) *pendingClaim {
	p := &pendingClaim{result: k, done: make(chan struct{})}
	close(p.done)
	return p
}

// leave drops a claim that nobody waits for. One that was sent may still hold;
// the index tells when it is read.
func (c *ClaimResolver) leave(p *pendingClaim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.waiters--
	if p.waiters == 0 && c.pending[p.digest] == p {
		delete(c.pending, p.digest)
	}
}

const (
	// failAfter is how long the log may be out of reach before requests are
	// refused instead of waiting for it.
	failAfter = time.Second
	// retryWhenDown is when a caller that was refused should come back.
	retryWhenDown = 5 * time.Second
)

// refusal returns why no new claim is taken, nil if one is.
func (c *ClaimResolver) refusal(now time.Time) error {
	switch {
	case c.stuck != nil:
		return errkind.Wrap(errkind.KeyUnresolved, c.stuck, "this daemon cannot read the claims of idempotency keys").After(time.Minute)
	case !c.failing.IsZero() && now.Sub(c.failing) >= failAfter:
		return errkind.New(errkind.KeyUnresolved, "the platform's log, which own idempotency keys need, does not answer").After(retryWhenDown)
	case c.blind(now):
		return errkind.New(errkind.KeyUnresolved, "claims of idempotency keys were lost from the platform's log").
			After(c.began.Add(c.opts.Lifetime).Sub(now))
	case len(c.pending) >= c.opts.MaxPending:
		return errkind.New(errkind.KeyUnresolved, "too many own idempotency keys wait for the platform's log")
	case c.index != nil && c.index.live >= c.opts.MaxClaims:
		return errkind.New(errkind.KeyUnresolved, "too many own idempotency keys are in use").After(time.Minute)
	}
	return nil
}

// caughtUp reports whether all that was in the log when the index began has
// been read.
func (c *ClaimResolver) caughtUp() bool { return c.index != nil && c.index.next >= c.loaded }

// decides reports whether the index may be answered from.
func (c *ClaimResolver) decides(now time.Time) bool {
	return c.stuck == nil && c.caughtUp() && !c.blind(now)
}

// blind reports whether claims that are not in the index may still hold: they
// were cut from the log, and neither does a record attest that they had ended
// nor has this daemon followed the log for long enough to know. Answering all
// the same would let a key run again that ran before the cut.
func (c *ClaimResolver) blind(now time.Time) bool {
	if now.Sub(c.began) >= c.opts.Lifetime {
		return false
	}
	return c.distrust || c.caughtUp() && !c.index.complete()
}
