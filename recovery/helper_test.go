package recovery

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/checkpoint"
	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/eventlog/memlog"
	"github.com/crocuscross/crocuscross/fold"
)

// own is the host that recovers.
const own = "own"

// world is a log, the states that it leads to, and some daemons.
type world struct {
	svc         *memlog.Service
	config      *memlog.Stream
	checkpoints *memlog.Stream
	// written are the offsets of the checkpoints there.
	written []uint64
	// states by offset, as daemons hold them that have read the log so far.
	states []*fold.State
	peers  peers
	opts   Options
	// waits counts the rounds without a result.
	waits int
	// last is the decision of the last of them.
	last Decision
}

// down is a stream that cannot be read.
type down struct{ eventlog.Log }

func (down) Bounds(context.Context) (eventlog.Bounds, error) {
	return eventlog.Bounds{}, eventlog.ErrUnavailable
}

// peers is the daemons' part of a world.
type peers struct {
	known   int
	answers []PeerAnswer
	states  map[string]*fold.State
}

func (p *peers) Ask(context.Context) PeerAnswers {
	return PeerAnswers{Known: p.known, Answers: p.answers}
}

func (p *peers) State(_ context.Context, host string) (*fold.State, error) {
	if st := p.states[host]; st != nil {
		return st, nil
	}
	return nil, errors.Newf("%s has gone", host)
}

func newWorld(records int) *world {
	svc := memlog.New(memlog.DefaultOptions())
	w := &world{
		svc:         svc,
		config:      svc.Stream(eventlog.StreamConfig),
		checkpoints: svc.Stream(eventlog.StreamCheckpoints),
		states:      []*fold.State{fold.Empty()},
	}
	w.peers.states = map[string]*fold.State{}
	w.opts = DefaultOptions()
	w.opts.Host = own
	w.opts.Peers = &w.peers
	w.opts.Config, w.opts.Checkpoints = w.config, w.checkpoints
	w.opts.Report = func(d Decision) { w.last = d }
	w.publish(records, "first")
	return w
}

// publish appends records whose content depends on text.
func (w *world) publish(n int, text string) {
	for range n {
		w.append(contractRecord(text, len(w.states)))
	}
}

func (w *world) append(data []byte) {
	if _, err := w.config.Append(context.Background(), data); err != nil {
		panic(err)
	}
	last := w.states[len(w.states)-1]
	if next, _, err := fold.Apply(last, last.Offset+1, data); err == nil {
		w.states = append(w.states, next)
	}
}

func contractRecord(text string, n int) []byte {
	c := &configpb.Contract{Customer: fmt.Sprint(text, n), RatePerSecond: 1, MaxWaitMs: 1000}
	change := &configpb.Change{Resource: &configpb.Resource{Kind: &configpb.Resource_Contract{Contract: c}}}
	b := &configpb.Bundle{PublishId: fmt.Sprint(text, n), Changes: []*configpb.Change{change}}
	data, err := fold.EncodeRecord(b)
	if err != nil {
		panic(err)
	}
	return data
}

// newerRecord returns a record that needs a newer program.
func newerRecord() []byte {
	return protowire.AppendVarint(protowire.AppendTag(nil, 1, protowire.VarintType), fold.RuleVersion+1)
}

// peer adds a daemon that has an offset in force and heard of a floor.
func (w *world) peer(host string, offset int, floor uint64) {
	w.peerWith(host, w.states[offset], floor)
}

func (w *world) peerWith(host string, st *fold.State, floor uint64) {
	if host != own {
		w.peers.known++
	}
	w.peers.answers = append(w.peers.answers, PeerAnswer{Host: host, Position: PositionOf(st), Floor: floor})
	if st.Offset > 0 {
		w.peers.states[host] = st
	}
}

func (w *world) checkpoint(offset int) {
	w.written = append(w.written, uint64(offset))
	writer := checkpoint.NewWriter(w.checkpoints, "h", checkpoint.DefaultWriterOptions())
	if err := writer.Write(context.Background(), w.states[offset]); err != nil {
		panic(err)
	}
}

// errWaits ends a recovery that goes on waiting.
var errWaits = errors.New("still waiting")

// maxRounds is after how many rounds a recovery counts as waiting for good.
const maxRounds = 6

// recover runs Recover. between is called after each round without a result.
func (w *world) recover(between func(round int)) (*Result, error) {
	w.waits = 0
	w.opts.Sleep = func(context.Context, time.Duration) error {
		w.waits++
		if between != nil {
			between(w.waits)
		}
		if w.waits >= maxRounds {
			return errWaits
		}
		return nil
	}
	return Recover(context.Background(), w.opts)
}

func (w *world) mustServe(t *testing.T, offset uint64, problem Problem) *Result {
	t.Helper()
	res, err := w.recover(nil)
	must.NoError(t, err, must.Sprint(w.last.Problem))
	must.Eq(t, offset, res.State.Offset)
	must.Eq(t, problem, res.Problem)
	return res
}

func (w *world) mustWait(t *testing.T, problem Problem) {
	t.Helper()
	res, err := w.recover(nil)
	must.ErrorIs(t, err, errWaits, must.Sprint(res))
	must.Eq(t, problem, w.last.Problem)
}

func encoded(st *fold.State) string {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(st.Encode())
	if err != nil {
		panic(err)
	}
	return string(data)
}
