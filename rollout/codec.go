package rollout

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/rollout/rolloutpb"
)

// ErrInvalidReport is returned for a report that no gate can have sent.
var ErrInvalidReport = errors.New("invalid rollout report")

var outcomeMessages = map[Outcome]rolloutpb.Outcome{
	Undecided:  rolloutpb.Outcome_OUTCOME_UNSPECIFIED,
	Succeeded:  rolloutpb.Outcome_OUTCOME_SUCCEEDED,
	RolledBack: rolloutpb.Outcome_OUTCOME_ROLLED_BACK,
}

var modeMessages = map[Mode]rolloutpb.Mode{
	Open:    rolloutpb.Mode_MODE_OPEN,
	Closed:  rolloutpb.Mode_MODE_CLOSED,
	Limited: rolloutpb.Mode_MODE_LIMITED,
}

// keyFor returns the key of a value in m, the zero key if m does not contain the value.
func keyFor[K, V comparable](m map[K]V, value V) K {
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
		NewVersion: r.NewVersion, OrderAgeMs: uint32(max(r.OrderAge.Milliseconds(), 0)), Outcome: outcomeMessages[r.Outcome],
		Admitted: r.Admitted, InFlight: uint32(r.InFlight), Mode: modeMessages[r.Mode],
	}
	for route, c := range r.Routes {
		m.Routes = append(m.Routes, &rolloutpb.RouteCounts{
			Route: route, Answered: uint32(c.Answered), Failed: uint32(c.Failed), Latencies: c.trimmedLatencies(),
		})
	}
	return m
}

// trimmedLatencies returns the latency buckets without the trailing empty ones.
func (c *Counts) trimmedLatencies() []uint32 {
	n := latencyBuckets
	for n > 0 && c.Latencies[n-1] == 0 {
		n--
	}
	return append([]uint32(nil), c.Latencies[:n]...)
}

// DecodeReport converts a message to a report. The error is ErrInvalidReport if the message has
// too many routes or latency buckets.
func DecodeReport(m *rolloutpb.Report) (Report, error) {
	r := Report{
		Server:     ServerID{Host: m.GetHost(), Boot: m.GetBoot(), Instance: m.GetLife()},
		NewVersion: m.GetNewVersion(), OrderAge: time.Duration(m.GetOrderAgeMs()) * time.Millisecond,
		Outcome: keyFor(outcomeMessages, m.GetOutcome()), Mode: keyFor(modeMessages, m.GetMode()),
		Admitted: m.GetAdmitted(), InFlight: int(m.GetInFlight()), Routes: make(CountsByRoute, len(m.GetRoutes())),
	}
	if len(m.GetRoutes()) > maxRoutes+1 {
		return r, errors.Wrapf(ErrInvalidReport, "%d routes, more than allowed", len(m.GetRoutes()))
	}
	for _, route := range m.GetRoutes() {
		if len(route.GetLatencies()) > latencyBuckets {
			return r, errors.Wrapf(ErrInvalidReport, "%d latency buckets, more than allowed", len(route.GetLatencies()))
		}
		c := &Counts{Answered: uint64(route.GetAnswered()), Failed: uint64(route.GetFailed())}
		copy(c.Latencies[:], route.GetLatencies())
		r.Routes[route.GetRoute()] = c
	}
	return r, nil
}

// EncodePermit converts a permit to its message.
func EncodePermit(p Permit) *rolloutpb.Permit {
	return &rolloutpb.Permit{
		Mode: modeMessages[p.Mode], AdmitUpTo: p.AdmitUpTo, LeaseMs: uint32(p.Lease.Milliseconds()),
		Outcome: outcomeMessages[p.Outcome], Recorded: p.Recorded,
	}
}

// DecodePermit converts a message to a permit. A permit with an unknown mode has no lease and
// therefore expires at once, so that it opens no gate.
func DecodePermit(m *rolloutpb.Permit) Permit {
	p := Permit{
		Mode: keyFor(modeMessages, m.GetMode()), AdmitUpTo: m.GetAdmitUpTo(), Lease: time.Duration(m.GetLeaseMs()) * time.Millisecond,
		Outcome: keyFor(outcomeMessages, m.GetOutcome()), Recorded: m.GetRecorded(),
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
	moved := e.Order
	moved.Offset = o.Offset
	return moved == o && eventlog.Epoch(e.Order.Offset) < eventlog.Epoch(o.Offset)
}

// EncodeEntry serializes an outcome as an entry of the platform's directory.
func EncodeEntry(e RecordedOutcome) ([]byte, error) {
	return proto.Marshal(&rolloutpb.Entry{Ended: &rolloutpb.Ended{
		Service: e.Order.Service, Order: e.Order.Offset, Outcome: outcomeMessages[e.Outcome],
		ToVersion: e.Order.ToVersion, DurationMs: e.Order.Duration.Milliseconds(),
	}})
}

// DecodeEntry parses an entry of the platform's directory. The second result is false for
// entries of other kinds, which the directory holds as well.
func DecodeEntry(value []byte) (RecordedOutcome, bool) {
	var m rolloutpb.Entry
	if proto.Unmarshal(value, &m) != nil || m.GetEnded() == nil {
		return RecordedOutcome{}, false
	}
	ended := m.GetEnded()
	e := RecordedOutcome{Outcome: keyFor(outcomeMessages, ended.GetOutcome()), Order: Order{
		Service: ended.GetService(), ToVersion: ended.GetToVersion(), Offset: ended.GetOrder(),
		Duration: time.Duration(ended.GetDurationMs()) * time.Millisecond,
	}}
	return e, e.Outcome != Undecided
}
