package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"

	"github.com/crocuscross/crocuscross/errkind"
)

// runner is one run.
type runner struct {
	opts    Options
	sender  *sender
	results *results
	// id sets the request ids of this run apart from those of others.
	id    string
	start time.Time

	taken  atomic.Int64
	target atomic.Uint64

	mu  sync.Mutex
	rng *rand.Rand
}

// Run sends the calls and returns what became of them. It ends early, without
// an error, when ctx does.
func Run(ctx context.Context, opts Options) (*Summary, error) {
	if err := opts.Check(); err != nil {
		return nil, err
	}
	return newRunner(opts).run(ctx)
}

func newRunner(opts Options) *runner {
	return &runner{
		opts:    opts,
		sender:  newSender(opts),
		results: newResults(opts.Record),
		id:      fmt.Sprintf("%016x", rand.Uint64()),
		start:   time.Now(),
		rng:     rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
	}
}

func (r *runner) run(ctx context.Context) (*Summary, error) {
	defer r.sender.close()
	var t tomb.Tomb
	if r.opts.Rate > 0 {
		t.Go(func() error { return r.openLoop(ctx, &t) })
	} else {
		t.Go(func() error { return r.closedLoop(ctx, &t) })
	}
	if err := t.Wait(); err != nil {
		return nil, err
	}
	return r.results.summary(time.Since(r.start))
}

// take returns the number of the next call, and false once the run is over.
func (r *runner) take(ctx context.Context) (int64, bool) {
	if ctx.Err() != nil || time.Since(r.start) >= r.opts.Duration {
		return 0, false
	}
	n := r.taken.Add(1)
	return n, n <= int64(r.opts.Count)
}

func (r *runner) closedLoop(ctx context.Context, t *tomb.Tomb) error {
	for range r.opts.Concurrency {
		t.Go(func() error {
			for {
				n, ok := r.take(ctx)
				if !ok {
					return nil
				}
				r.call(ctx, n, time.Now())
			}
		})
	}
	return nil
}

// openLoop sends each call when it is due. It does not wait for answers: a
// caller that does would send less just when the system is slow, and report
// a better latency than its customers see.
func (r *runner) openLoop(ctx context.Context, t *tomb.Tomb) error {
	inFlight := make(chan struct{}, r.opts.Concurrency)
	due := r.start
	for {
		due = due.Add(r.gap())
		wait(ctx, time.Until(due))
		n, ok := r.take(ctx)
		if !ok {
			return nil
		}
		select {
		case inFlight <- struct{}{}:
		default:
			r.results.drop()
			continue
		}
		sendAt := due
		t.Go(func() error {
			defer func() { <-inFlight }()
			r.call(ctx, n, sendAt)
			return nil
		})
	}
}

// gap draws the time between two calls of an open loop.
func (r *runner) gap() time.Duration {
	g := float64(time.Second) / r.opts.Rate
	if r.opts.Poisson {
		r.mu.Lock()
		defer r.mu.Unlock()
		g *= r.rng.ExpFloat64()
	}
	return time.Duration(g)
}

// shape draws one of the mix.
func (r *runner) shape() Shape {
	total := 0.0
	for _, s := range r.opts.Mix {
		total += s.Weight
	}
	r.mu.Lock()
	x := r.rng.Float64() * total
	r.mu.Unlock()
	for _, s := range r.opts.Mix {
		if x -= s.Weight; x < 0 {
			return s
		}
	}
	return r.opts.Mix[len(r.opts.Mix)-1]
}

func (r *runner) nextTarget() string {
	i := r.target.Add(1) - 1
	return r.opts.Targets[i%uint64(len(r.opts.Targets))]
}

// otherTarget returns a target that a call has not tried yet, as long as there is
// one: a caller that comes back to a daemon that is gone, while others are
// there, fails for its own fault.
func (r *runner) otherTarget(tried []string) string {
	for range r.opts.Targets {
		if target := r.nextTarget(); !slices.Contains(tried, target) {
			return target
		}
	}
	return r.nextTarget()
}

// call sends one call, again where that may help and is safe, and records it.
func (r *runner) call(ctx context.Context, n int64, due time.Time) {
	shape := r.shape()
	c := &Call{
		RequestID: fmt.Sprintf("%s-%d", r.id, n),
		Method:    shape.Method,
		Path:      shape.Path,
		Target:    r.nextTarget(),
		Start:     due,
	}
	if r.giveKey(ctx, c, shape, n) {
		r.try(ctx, c, shape)
	}
	c.Latency = time.Since(due)
	r.results.add(c)
}

func (r *runner) try(ctx context.Context, c *Call, shape Shape) {
	var tried []string
	for {
		t := r.sender.send(ctx, c, shape)
		c.add(t)
		if c.Tries > r.opts.Repeats || !r.wants(c, t) || !t.safe(shape, c.IdempotencyKey) {
			return
		}
		if !wait(ctx, max(t.retryAfter, r.opts.RepeatDelay)) {
			return
		}
		tried = append(tried, c.Target)
		c.Target = r.otherTarget(tried)
	}
}

// wants reports whether the caller would send the call again after a try.
func (r *runner) wants(c *Call, t try) bool {
	insists := r.opts.Insist && c.IdempotencyKey != "" && t.verdict != OK && t.verdict != Wrong
	return insists || t.mayHelp()
}

// giveKey gives a non-idempotent call its key. It returns false where none of
// the daemons asked would issue one; the call is not sent then.
func (r *runner) giveKey(ctx context.Context, c *Call, shape Shape, n int64) bool {
	if !shape.nonIdempotent() {
		return true
	}
	switch r.opts.Keys {
	case KeysOwn:
		c.IdempotencyKey = "own-" + c.RequestID
	case KeysGiven:
		c.IdempotencyKey = r.opts.GivenKeys[n-1]
	case KeysIssued:
		return r.askForKey(ctx, c)
	}
	return true
}

// askForKey asks one daemon after the other. Asking again is always safe: a key
// that is not used has no effect.
func (r *runner) askForKey(ctx context.Context, c *Call) bool {
	var asked []string
	for {
		start := time.Now()
		key, err := r.sender.issuedKey(ctx, c.Target)
		if err == nil {
			c.IdempotencyKey = key
			return true
		}
		if len(asked) == r.opts.Repeats || !wait(ctx, r.opts.RepeatDelay) {
			c.add(try{start: start, end: time.Now(), verdict: NotSent, kind: kindOf(err), run: errkind.NotRun, err: err})
			return false
		}
		asked = append(asked, c.Target)
		c.Target = r.otherTarget(asked)
	}
}

// kindOf is errkind.Of without a kind for errors that came from no daemon.
func kindOf(err error) errkind.Kind {
	var e *errkind.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return errkind.None
}

// wait reports whether ctx is still alive after d.
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
