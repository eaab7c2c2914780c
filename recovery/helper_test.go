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

// own is the host of the daemon that recovers.
const own = "own"

// fleet simulates a log, the states that result from folding it, and some daemons.
type world struct {
	svc         *memlog.Service
	config      *memlog.Stream
	checkpoints *memlog.Stream
	// written holds the offsets of the checkpoints in the log.
	written []uint64
	// states holds the state at each offset of the log.
	states []*fold.State
	peers  peers
	opts   Options
	// waits counts the rounds without a result, and last is the decision of the last of them.
	waits int
	last  Decision
}

// unavailableLog is a stream that cannot be read.
type down struct{ eventlog.Log }

func (down) Bounds(context.Context) (eventlog.Bounds, error) {
	return eventlog.Bounds{}, eventlog.ErrUnavailable
}

// peers simulates the other daemons of a fleet. It implements Peers.
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
	return nil, errors.Newf("host %s has no state", host)
}

// newFleet returns a fleet without other daemons and with a number of records in its log.
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

// publish appends n records whose content depends on text.
func (w *world) publish(n int, text string) {
	for range n {
		w.append(contractRecord(text, len(w.states)))
	}
}

// append appends a record to the log, and its state if the record is supported.
func (w *world) append(data []byte) {
	if _, err := w.config.Append(context.Background(), data); err != nil {
		panic(err)
	}
	last := w.states[len(w.states)-1]
	if next, _, err := fold.Apply(last, last.Offset+1, data); err == nil {
		w.states = append(w.states, next)
	}
}

// contractRecord returns the record of a contract for the customer text+n.
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

// unsupportedRecord returns a record with a rule version that needs a newer program.
func newerRecord() []byte {
	return protowire.AppendVarint(protowire.AppendTag(nil, 1, protowire.VarintType), fold.RuleVersion+1)
}

// peer adds a daemon on a host with the version at an offset in force. Its answer contains floor.
func (w *world) peer(host string, offset int, floor uint64) {
	w.peerWith(host, w.states[offset], floor)
}

// peerWith adds a daemon on a host with st in force. Its answer contains floor.
func (w *world) peerWith(host string, st *fold.State, floor uint64) {
	if host != own {
		w.peers.known++
	}
	w.peers.answers = append(w.peers.answers, PeerAnswer{Host: host, Position: PositionOf(st), Floor: floor})
	if st.Offset > 0 {
		w.peers.states[host] = st
	}
}

// checkpoint writes a checkpoint of the state at an offset.
func (w *world) checkpoint(offset int) {
	w.written = append(w.written, uint64(offset))
	writer := checkpoint.NewWriter(w.checkpoints, "h", checkpoint.DefaultWriterOptions())
	if err := writer.Write(context.Background(), w.states[offset]); err != nil {
		panic(err)
	}
}

// errWaits ends a recovery that has no result after maxRounds rounds.
var errWaits = errors.New("still waiting")

// maxRounds is the number of rounds after which a recovery counts as waiting indefinitely.
const maxRounds = 6

// recover calls Recover, and between, if not nil, after each round without a result.
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

// mustServe fails the test unless Recover returns a state at an offset with a problem.
func (w *world) mustServe(t *testing.T, offset uint64, problem Problem) *Result {
	t.Helper()
	res, err := w.recover(nil)
	must.NoError(t, err, must.Sprint(w.last.Problem))
	must.Eq(t, offset, res.State.Offset)
	must.Eq(t, problem, res.Problem)
	return res
}

// mustWait fails the test unless Recover has no result after maxRounds rounds because of a problem.
func (w *world) mustWait(t *testing.T, problem Problem) {
	t.Helper()
	res, err := w.recover(nil)
	must.ErrorIs(t, err, errWaits, must.Sprint(res))
	must.Eq(t, problem, w.last.Problem)
}

// encoded returns the deterministic encoding of a state.
func encoded(st *fold.State) string {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(st.Encode())
	if err != nil {
		panic(err)
	}
	return string(data)
}
