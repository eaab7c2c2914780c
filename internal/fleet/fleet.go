package fleet

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/peerpb"
)

const (
	// maxAskBytes bounds what another daemon may ask in one message.
	maxAskBytes = 4 << 10

	defaultConcurrency  = 64
	defaultTimeout      = time.Second
	defaultPollInterval = 200 * time.Millisecond
)

// Caller exchanges one message each way with another daemon.
type Caller interface {
	Call(ctx context.Context, addr netip.AddrPort, kind peerpb.Kind, req, resp proto.Message) error
}

// Options holds what a Fleet needs.
type Options struct {
	Board *blackboard.Board
	Local *LocalStatus
	Peers Caller
	// Drain begins a graceful shutdown of this daemon and returns at once.
	Drain func(reason string)
	// Concurrency bounds the daemons asked at once, so that one question to a
	// fleet of a thousand does not open a thousand sessions in a burst.
	Concurrency int
	// Timeout bounds the exchange with one daemon.
	Timeout time.Duration
	// PollInterval is the time between two rounds of a wait for convergence.
	PollInterval time.Duration
	Logger       *slog.Logger
}

// DefaultOptions suit a fleet of about a thousand daemons. Board, Self, Peers
// and Drain are left to the caller.
func DefaultOptions() Options {
	return Options{
		Concurrency:  defaultConcurrency,
		Timeout:      defaultTimeout,
		PollInterval: defaultPollInterval,
		Logger:       slog.New(slog.DiscardHandler),
	}
}

// Fleet asks the other daemons. It is safe for concurrent use.
type Fleet struct {
	opts Options
}

// New returns a Fleet.
func New(opts Options) *Fleet { return &Fleet{opts: opts} }

// Report is what is known of one daemon.
type Report struct {
	Member *membership.Member
	// Status is the daemon's own; nil where it was not asked or did not answer.
	Status *peerpb.StatusAnswer
	// Err tells why a live daemon did not answer.
	Err error
}

// Status returns a report on each member of the table. Dead members and those
// that left are not asked.
func (f *Fleet) Status(ctx context.Context) []Report {
	view := f.opts.Board.Members.Load()
	if view == nil {
		return nil
	}
	reports := make([]Report, len(view.Members))
	f.each(ctx, view.Members, func(ctx context.Context, i int, m *membership.Member) {
		reports[i].Member = m
		if m.Usable() {
			reports[i].Status, reports[i].Err = f.ask(ctx, m)
		}
	})
	return reports
}

// ask returns a daemon's own status.
func (f *Fleet) ask(ctx context.Context, m *membership.Member) (*peerpb.StatusAnswer, error) {
	if f.isSelf(m) {
		return f.opts.Local.Status(), nil
	}
	a := &peerpb.StatusAnswer{}
	if err := f.opts.Peers.Call(ctx, m.PeerAddr, peerpb.Kind_KIND_STATUS, &peerpb.StatusAsk{}, a); err != nil {
		return nil, err
	}
	return a, nil
}

func (f *Fleet) isSelf(m *membership.Member) bool { return m.Host == f.opts.Local.opts.Host }

// each calls do for every member, at most Concurrency at once and each with a
// timeout of its own, and returns when all are done.
func (f *Fleet) each(ctx context.Context, members []*membership.Member, do func(context.Context, int, *membership.Member)) {
	slots := make(chan struct{}, f.opts.Concurrency)
	var wg sync.WaitGroup
	for i, m := range members {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, f.opts.Timeout)
			defer cancel()
			do(ctx, i, m)
		})
	}
	wg.Wait()
}

// Self returns this daemon's own status.
func (f *Fleet) Self() *peerpb.StatusAnswer { return f.opts.Local.Status() }
