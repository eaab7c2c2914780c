package spread

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/peer"
	"github.com/crocuscross/crocuscross/peerpb"
)

// A push that does not continue the applied records, as after a log was written again, must be
// refused, reported and not relayed. Its sender pushes to the daemons below.
func TestDivergedPushIsRefused(t *testing.T) {
	n, relayed := newCountingSpreader(t)
	n.InstallState(fold.Empty())
	must.False(t, push(t, n, 0, fold.Chain{}, "a").GetDiverged())
	must.Eq(t, 1, relayed.Load())
	ack := push(t, n, 1, fold.Chain{1}, "b")
	must.True(t, ack.GetDiverged())
	must.Eq(t, 1, ack.GetOffset())
	must.Eq(t, 1, relayed.Load())
	must.StrContains(t, n.Status().StuckReason, "do not follow")
	must.True(t, push(t, n, 0, fold.Chain{}, "z").GetDiverged())
	answer := n.servePull(&peerpb.Pull{Offset: 1, Chain: make([]byte, 32)})
	must.True(t, answer.GetDiverged())
	push(t, n, 1, n.State().Chain, "b")
	must.Eq(t, 2, n.State().Offset)
	must.Eq(t, "", n.Status().StuckReason)
}

// A daemon of an old program receives a record that it cannot apply. It must relay the push, as the
// daemons below may run a newer program.
func TestPushOfUnknownRuleIsRelayed(t *testing.T) {
	n, relayed := newCountingSpreader(t)
	n.InstallState(fold.Empty())
	rec := contractChange("a", 0)
	rec.RuleVersion = fold.RuleVersion + 1
	pushRecord(t, n, 0, fold.Chain{}, rec)
	must.Eq(t, 0, n.State().Offset)
	must.Eq(t, 1, relayed.Load())
}

// Two pushes arrive in the wrong order. The later one must wait for the earlier one without a pull.
func TestReorderedPushes(t *testing.T) {
	_, states := recordsAndStates(t, 2)
	n, _ := newCountingSpreader(t)
	n.InstallState(fold.Empty())
	must.Eq(t, 0, push(t, n, 1, states[1].Chain, "1").GetOffset())
	must.Eq(t, 2, push(t, n, 0, fold.Chain{}, "0").GetOffset())
}

// Pulls beyond the limit of concurrent answers must be answered as busy.
func TestConcurrentPullsAreLimited(t *testing.T) {
	n, _ := newCountingSpreader(t)
	n.InstallState(fold.Empty())
	push(t, n, 0, fold.Chain{}, "a")
	for range maxServedPulls {
		n.serveSem <- struct{}{}
	}
	must.True(t, n.servePull(&peerpb.Pull{}).GetBusy())
	<-n.serveSem
	must.Len(t, 1, n.servePull(&peerpb.Pull{}).GetRecords())
	must.SliceEmpty(t, n.servePull(&peerpb.Pull{FloorOnly: true}).GetRecords())
	whole := n.servePull(&peerpb.Pull{WholeState: true})
	must.Eq(t, 1, whole.GetState().GetOffset())
	must.Eq(t, n.State().Chain[:], whole.GetChain())
}

// A sender repeats a push after a timeout. Relaying it again would double the traffic at each level
// of the tree.
func TestRepeatedPushIsRelayedOnce(t *testing.T) {
	n, relayed := newCountingSpreader(t)
	n.InstallState(fold.Empty())
	for range 3 {
		push(t, n, 0, fold.Chain{}, "a")
	}
	must.Eq(t, 1, relayed.Load())
}

// A push to one daemon fails. It must be retried over a new session if only the session may have
// failed, and the daemons below must be reached in any case.
func TestFailedPushIsRetriedAndBypassed(t *testing.T) {
	part := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")}
	for _, tc := range []struct {
		name string
		err  error
		ack  *peerpb.PushAck
		want int64
	}{
		{"silent session", context.DeadlineExceeded, nil, 3},
		{"no connection", peer.ErrUnreachable, nil, 2},
		{"refused", nil, &peerpb.PushAck{Diverged: true}, 2},
	} {
		n, relayed := newCountingSpreader(t)
		n.opts.Peers = peersFunc(func(m *peerpb.Push) (*peerpb.PushAck, error) {
			relayed.Add(1)
			if len(m.GetTargets()) > 0 {
				return tc.ack, tc.err
			}
			return &peerpb.PushAck{}, nil
		})
		n.pushPart(&peerpb.Push{}, part)
		must.Eq(t, tc.want, relayed.Load(), must.Sprint(tc.name))
	}
}

// A digest reaches a zone that is behind. Each daemon must pull from the daemon above it in the
// tree, and not all from the root.
func TestRelayedDigestNamesRelayAsSource(t *testing.T) {
	n, _ := newCountingSpreader(t)
	_, states := recordsAndStates(t, 1)
	n.InstallState(states[1])
	var source []byte
	n.opts.Peers = peersFunc(func(m *peerpb.Push) (*peerpb.PushAck, error) {
		source = m.GetSource()
		return &peerpb.PushAck{}, nil
	})
	root := netip.MustParseAddrPort("10.0.0.1:1")
	must.NoError(t, n.servePush(&peerpb.Push{Base: 1, Source: encodeAddr(root), Targets: encodeAddrs([]netip.AddrPort{root})},
		func(*peerpb.PushAck) error { return nil }))
	must.Eq(t, encodeAddr(n.topology.Load().self), source)
}

// peersFunc implements Peers with a function that answers pushes.
type peersFunc func(*peerpb.Push) (*peerpb.PushAck, error)

func (f peersFunc) Push(_ context.Context, _ netip.AddrPort, m *peerpb.Push) (*peerpb.PushAck, error) {
	return f(m)
}

func (f peersFunc) Pull(context.Context, netip.AddrPort, *peerpb.Pull) (*peerpb.PullAnswer, error) {
	return nil, errors.New("no peer")
}

// newCountingSpreader returns a Spreader and the number of pushes that it has sent.
func newCountingSpreader(t *testing.T) (*Spreader, *atomic.Int64) {
	relayed := new(atomic.Int64)
	opts := DefaultOptions()
	opts.Host = "host-0"
	opts.Peers = peersFunc(func(*peerpb.Push) (*peerpb.PushAck, error) {
		relayed.Add(1)
		return &peerpb.PushAck{}, nil
	})
	s := New(opts)
	self := &membership.Member{Host: "host-0", PeerAddr: netip.MustParseAddrPort("10.0.0.8:7000")}
	s.SetView(&membership.View{Self: self})
	return s, relayed
}

// push sends a push with one record to s, to be relayed to one daemon.
func push(t *testing.T, s *Spreader, base uint64, chain fold.Chain, id string) *peerpb.PushAck {
	return pushRecord(t, s, base, chain, contractChange(id, base))
}

func pushRecord(t *testing.T, s *Spreader, base uint64, chain fold.Chain, rec *configpb.Record) *peerpb.PushAck {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(rec)
	must.NoError(t, err)
	target := netip.MustParseAddrPort("10.0.0.9:7000")
	var got *peerpb.PushAck
	err = s.servePush(&peerpb.Push{
		Base: base, BaseChain: chain[:], Root: "host-1", Targets: encodeAddrs([]netip.AddrPort{target}),
		Records: sequencedFrom(base+1, data),
	}, func(ack *peerpb.PushAck) error { got = ack; return nil })
	must.NoError(t, err)
	return got
}
