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
type fleet struct {
	svc         *memlog.Service
	config      *memlog.Stream
	checkpoints *memlog.Stream
	// checkpointOffsets holds the offsets of the checkpoints in the log.
	checkpointOffsets []uint64
	// states holds the state at each offset of the log.
	states []*fold.State
	peers  peers
	opts   Options
	// waits counts the rounds without a result, and last is the decision of the last of them.
	waits int
	last  Decision
}

// unavailableLog is a stream that cannot be read.
type unavailableLog struct{ eventlog.Log }

func (unavailableLog) Bounds(context.Context) (eventlog.Bounds, error) {
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
func newFleet(records int) *fleet {
	svc := memlog.New(memlog.DefaultOptions())
	f := &fleet{
		svc:         svc,
		config:      svc.Stream(eventlog.StreamConfig),
		checkpoints: svc.Stream(eventlog.StreamCheckpoints),
		states:      []*fold.State{fold.Empty()},
	}
	f.peers.states = map[string]*fold.State{}
	f.opts = DefaultOptions()
	f.opts.Host = own
	f.opts.Peers = &f.peers
	f.opts.Config, f.opts.Checkpoints = f.config, f.checkpoints
	f.opts.Report = func(d Decision) { f.last = d }
	f.publish(records, "first")
	return f
}

// publish appends n records whose content depends on text.
func (f *fleet) publish(n int, text string) {
	for range n {
		f.append(contractRecord(text, len(f.states)))
	}
}

// append appends a record to the log, and its state if the record is supported.
func (f *fleet) append(data []byte) {
	if _, err := f.config.Append(context.Background(), data); err != nil {
		panic(err)
	}
	last := f.states[len(f.states)-1]
	if next, _, err := fold.Apply(last, last.Offset+1, data); err == nil {
		f.states = append(f.states, next)
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
func unsupportedRecord() []byte {
	return protowire.AppendVarint(protowire.AppendTag(nil, 1, protowire.VarintType), fold.RuleVersion+1)
}

// peer adds a daemon on a host with the version at an offset in force. Its answer contains floor.
func (f *fleet) peer(host string, offset int, floor uint64) {
	f.peerWith(host, f.states[offset], floor)
}

// peerWith adds a daemon on a host with st in force. Its answer contains floor.
func (f *fleet) peerWith(host string, st *fold.State, floor uint64) {
	if host != own {
		f.peers.known++
	}
	f.peers.answers = append(f.peers.answers, PeerAnswer{Host: host, Position: PositionOf(st), Floor: floor})
	if st.Offset > 0 {
		f.peers.states[host] = st
	}
}

// checkpoint writes a checkpoint of the state at an offset.
func (f *fleet) checkpoint(offset int) {
	f.checkpointOffsets = append(f.checkpointOffsets, uint64(offset))
	writer := checkpoint.NewWriter(f.checkpoints, "h", checkpoint.DefaultWriterOptions())
	if err := writer.Write(context.Background(), f.states[offset]); err != nil {
		panic(err)
	}
}

// errWaits ends a recovery that has no result after maxRounds rounds.
var errWaits = errors.New("still waiting")

// maxRounds is the number of rounds after which a recovery counts as waiting indefinitely.
const maxRounds = 6

// recover calls Recover, and between, if not nil, after each round without a result.
func (f *fleet) recover(between func(round int)) (*Result, error) {
	f.waits = 0
	f.opts.Sleep = func(context.Context, time.Duration) error {
		f.waits++
		if between != nil {
			between(f.waits)
		}
		if f.waits >= maxRounds {
			return errWaits
		}
		return nil
	}
	return Recover(context.Background(), f.opts)
}

// mustServe fails the test unless Recover returns a state at an offset with a problem.
func (f *fleet) mustServe(t *testing.T, offset uint64, problem Problem) *Result {
	t.Helper()
	res, err := f.recover(nil)
	must.NoError(t, err, must.Sprint(f.last.Problem))
	must.Eq(t, offset, res.State.Offset)
	must.Eq(t, problem, res.Problem)
	return res
}

// mustWait fails the test unless Recover has no result after maxRounds rounds because of a problem.
func (f *fleet) mustWait(t *testing.T, problem Problem) {
	t.Helper()
	res, err := f.recover(nil)
	must.ErrorIs(t, err, errWaits, must.Sprint(res))
	must.Eq(t, problem, f.last.Problem)
}

// encoded returns the deterministic encoding of a state.
func encoded(st *fold.State) string {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(st.Encode())
	if err != nil {
		panic(err)
	}
	return string(data)
}
