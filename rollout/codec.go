package rollout

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/rollout/rolloutpb"
)

// ErrBadReport is returned for a report that no gate can have sent.
var ErrBadReport = errors.New("invalid rollout report")

var outcomes = map[Outcome]rolloutpb.Outcome{
	Undecided:  rolloutpb.Outcome_OUTCOME_UNSPECIFIED,
	Succeeded:  rolloutpb.Outcome_OUTCOME_SUCCEEDED,
	RolledBack: rolloutpb.Outcome_OUTCOME_ROLLED_BACK,
}

var modes = map[Mode]rolloutpb.Mode{
	Open:    rolloutpb.Mode_MODE_OPEN,
	Closed:  rolloutpb.Mode_MODE_CLOSED,
	Limited: rolloutpb.Mode_MODE_LIMITED,
}

// keyOf returns the key of a value in m, the zero key if m does not contain the value.
func keyOf[K, V comparable](m map[K]V, value V) K {
	for k, v := range m {
		if v == value {
			return k
		}
	}
	var none K
	return none
}

// EncodeReport converts a report on an order to its message.
func EncodeReport(o Order, r Report) *rolloutpb.Report {
	m := &rolloutpb.Report{
		Host: r.Server.Host, Boot: r.Server.Boot, Life: r.Server.Instance, Service: o.Service, Order: o.Offset,
		NewVersion: r.NewVersion, OrderAgeMs: uint32(max(r.OrderAge.Milliseconds(), 0)), Outcome: outcomes[r.Outcome],
		Admitted: r.Admitted, InFlight: uint32(r.InFlight), Mode: modes[r.Mode],
	}
	for route, c := range r.Tally {
		m.Routes = append(m.Routes, &rolloutpb.RouteCounts{
			Route: route, Answered: uint32(c.Answered), Failed: uint32(c.Failed), Latencies: c.trimmed(),
		})
	}
	return m
}

// trimmed returns the latency buckets without the trailing empty ones.
func (c *Counts) trimmed() []uint32 {
	n := latencyBuckets
	for n > 0 && c.Latencies[n-1] == 0 {
		n--
	}
	return append([]uint32(nil), c.Latencies[:n]...)
}

// DecodeReport converts a message to a report. The error is ErrBadReport if the message has too
// many routes or latency buckets.
func DecodeReport(m *rolloutpb.Report) (Report, error) {
	r := Report{
		Server:     ServerID{Host: m.GetHost(), Boot: m.GetBoot(), Instance: m.GetLife()},
		NewVersion: m.GetNewVersion(), OrderAge: time.Duration(m.GetOrderAgeMs()) * time.Millisecond,
		Outcome: keyOf(outcomes, m.GetOutcome()), Mode: keyOf(modes, m.GetMode()),
		Admitted: m.GetAdmitted(), InFlight: int(m.GetInFlight()), Tally: make(Tally, len(m.GetRoutes())),
	}
	if len(m.GetRoutes()) > maxRoutes+1 {
		return r, errors.Wrapf(ErrBadReport, "%d routes, more than allowed", len(m.GetRoutes()))
	}
	for _, route := range m.GetRoutes() {
		if len(route.GetLatencies()) > latencyBuckets {
			return r, errors.Wrapf(ErrBadReport, "%d latency buckets, more than allowed", len(route.GetLatencies()))
		}
		c := &Counts{Answered: uint64(route.GetAnswered()), Failed: uint64(route.GetFailed())}
		copy(c.Latencies[:], route.GetLatencies())
		r.Tally[route.GetRoute()] = c
	}
	return r, nil
}

// EncodePermit converts a permit to its message.
func EncodePermit(p Permit) *rolloutpb.Permit {
	return &rolloutpb.Permit{
		Mode: modes[p.Mode], AdmitUpTo: p.AdmitUpTo, LeaseMs: uint32(p.Lease.Milliseconds()),
		Outcome: outcomes[p.Outcome], Recorded: p.Recorded,
	}
}

// DecodePermit converts a message to a permit. A permit with an unknown mode has no lease and
// therefore expires at once, so that it opens no gate.
func DecodePermit(m *rolloutpb.Permit) Permit {
	p := Permit{
		Mode: keyOf(modes, m.GetMode()), AdmitUpTo: m.GetAdmitUpTo(), Lease: time.Duration(m.GetLeaseMs()) * time.Millisecond,
		Outcome: keyOf(outcomes, m.GetOutcome()), Recorded: m.GetRecorded(),
	}
	if p.Mode == 0 {
		p.Lease = 0
	}
	return p
}

// RecordedOutcome is an order and the outcome of its rollout, as stored in the directory.
type RecordedOutcome struct {
	Order   Order
	Outcome Outcome
}

// Matches reports whether e is the outcome of order o. An order that was appended again after the
// log was restored from an older copy has another offset, in a later epoch; it matches if all
// other fields are equal.
func (e RecordedOutcome) Matches(o Order) bool {
	if e.Order.Offset == o.Offset {
		return e.Order.Service == o.Service
	}
	renamed := e.Order
	renamed.Offset = o.Offset
	return renamed == o && eventlog.Epoch(e.Order.Offset) < eventlog.Epoch(o.Offset)
}

// EncodeEntry serializes an outcome as an entry of the platform's directory.
func EncodeEntry(e RecordedOutcome) ([]byte, error) {
	return proto.Marshal(&rolloutpb.Entry{Ended: &rolloutpb.Ended{
		Service: e.Order.Service, Order: e.Order.Offset, Outcome: outcomes[e.Outcome],
		ToVersion: e.Order.ToVersion, DurationMs: e.Order.Duration.Milliseconds(),
	}})
}

// DecodeEntry parses an entry of the platform's directory. ok is false for entries of other
// kinds, which the directory holds as well.
func DecodeEntry(value []byte) (RecordedOutcome, bool) {
	var m rolloutpb.Entry
	if proto.Unmarshal(value, &m) != nil || m.GetEnded() == nil {
		return RecordedOutcome{}, false
	}
	ended := m.GetEnded()
	e := RecordedOutcome{Outcome: keyOf(outcomes, ended.GetOutcome()), Order: Order{
		Service: ended.GetService(), ToVersion: ended.GetToVersion(), Offset: ended.GetOrder(),
		Duration: time.Duration(ended.GetDurationMs()) * time.Millisecond,
	}}
	return e, e.Outcome != Undecided
}
