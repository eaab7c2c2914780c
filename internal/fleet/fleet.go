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
	// maxRequestBytes limits the size of a request from another daemon.
	maxRequestBytes = 4 << 10

	defaultConcurrency  = 64
	defaultTimeout      = time.Second
	defaultPollInterval = 200 * time.Millisecond
)

// Caller sends requests to other daemons.
type Caller interface {
	// Call sends req to the daemon at addr and reads its response into resp.
	Call(ctx context.Context, addr netip.AddrPort, kind peerpb.Kind, req, resp proto.Message) error
}

// Options configures a Fleet.
type Options struct {
	Board *blackboard.Board
	Local *LocalStatus
	Peers Caller
	// Drain begins a graceful shutdown of this daemon and returns without waiting for it.
	Drain func(reason string)
	// Concurrency limits the daemons that are queried concurrently, so that one request to a fleet
	// of a thousand daemons does not open a thousand sessions at once.
	Concurrency int
	// Timeout limits the request to one daemon.
	Timeout time.Duration
	// PollInterval is the time between two rounds of queries in Converge.
	PollInterval time.Duration
	Logger       *slog.Logger
}

// DefaultOptions returns options for a fleet of about a thousand daemons. The caller sets Board,
// Local, Peers and Drain.
func DefaultOptions() Options {
	return Options{
		Concurrency:  defaultConcurrency,
		Timeout:      defaultTimeout,
		PollInterval: defaultPollInterval,
		Logger:       slog.New(slog.DiscardHandler),
	}
}

// Fleet queries and drains the daemons in the member table. It is safe for concurrent use.
type Fleet struct {
	opts Options
}

// New returns a Fleet.
func New(opts Options) *Fleet { return &Fleet{opts: opts} }

// Report is the status of one daemon.
type Report struct {
	Member *membership.Member
	// Status is the status that the daemon returned, nil if it was not queried or did not respond.
	Status *peerpb.StatusAnswer
	// Err is the error of the query, nil if the daemon responded or was not queried.
	Err error
}

// Status returns a report for each member in the member table. Members that are dead or have left
// are not queried.
func (f *Fleet) Status(ctx context.Context) []Report {
	view := f.opts.Board.Members.Load()
	if view == nil {
		return nil
	}
	reports := make([]Report, len(view.Members))
	f.forEach(ctx, view.Members, func(ctx context.Context, i int, m *membership.Member) {
		reports[i].Member = m
		if m.Usable() {
			reports[i].Status, reports[i].Err = f.queryStatus(ctx, m)
		}
	})
	return reports
}

// queryStatus returns the status that a daemon reports.
func (f *Fleet) queryStatus(ctx context.Context, m *membership.Member) (*peerpb.StatusAnswer, error) {
	if f.isSelf(m) {
		return f.opts.Local.Status(), nil
	}
	a := &peerpb.StatusAnswer{}
	if err := f.opts.Peers.Call(ctx, m.PeerAddr, peerpb.Kind_KIND_STATUS, &peerpb.StatusAsk{}, a); err != nil {
		return nil, err
	}
	return a, nil
}

// isSelf reports whether m is this daemon.
func (f *Fleet) isSelf(m *membership.Member) bool { return m.Host == f.opts.Local.opts.Host }

// forEach calls do for every member and returns when all calls are done. At most Concurrency calls
// run concurrently, each with its own timeout.
func (f *Fleet) forEach(ctx context.Context, members []*membership.Member, do func(context.Context, int, *membership.Member)) {
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

// Self returns the status of this daemon.
func (f *Fleet) Self() *peerpb.StatusAnswer { return f.opts.Local.Status() }
