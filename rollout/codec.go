package rollout

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/rollout/rolloutpb"
)

// ErrBadReport means that a report is none that a gate sends.
var ErrBadReport = errors.New("report on a rollout is not valid")

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

// keyOf returns the key of a value, the zero key where there is none.
func keyOf[K, V comparable](m map[K]V, value V) K {
	for k, v := range m {
		if v == value {
			return k
		}
	}
	var none K
	return none
}

// EncodeReport returns the message of a report on an order.
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

// trimmed returns the latencies without the empty buckets at the end.
func (c *Counts) trimmed() []uint32 {
	n := latencyBuckets
	for n > 0 && c.Latencies[n-1] == 0 {
		n--
	}
	return append([]uint32(nil), c.Latencies[:n]...)
}

// DecodeReport returns the report of a message. The error is ErrBadReport.
func DecodeReport(m *rolloutpb.Report) (Report, error) {
	r := Report{
		Server:     ServerID{Host: m.GetHost(), Boot: m.GetBoot(), Instance: m.GetLife()},
		NewVersion: m.GetNewVersion(), OrderAge: time.Duration(m.GetOrderAgeMs()) * time.Millisecond,
		Outcome: keyOf(outcomes, m.GetOutcome()), Mode: keyOf(modes, m.GetMode()),
		Admitted: m.GetAdmitted(), InFlight: int(m.GetInFlight()), Tally: make(Tally, len(m.GetRoutes())),
	}
	if len(m.GetRoutes()) > maxRoutes+1 {
		return r, errors.Wrapf(ErrBadReport, "%d routes", len(m.GetRoutes()))
	}
	for _, route := range m.GetRoutes() {
		if len(route.GetLatencies()) > latencyBuckets {
			return r, errors.Wrapf(ErrBadReport, "%d buckets", len(route.GetLatencies()))
		}
		c := &Counts{Answered: uint64(route.GetAnswered()), Failed: uint64(route.GetFailed())}
		copy(c.Latencies[:], route.GetLatencies())
		r.Tally[route.GetRoute()] = c
	}
	return r, nil
}

// EncodePermit returns the message of a permit.
func EncodePermit(p Permit) *rolloutpb.Permit {
	return &rolloutpb.Permit{
		Mode: modes[p.Mode], AdmitUpTo: p.AdmitUpTo, LeaseMs: uint32(p.Lease.Milliseconds()),
		Outcome: outcomes[p.Outcome], Recorded: p.Recorded,
	}
}

// DecodePermit returns the permit of a message. A mode that is not known opens nothing.
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

// RecordedOutcome is the outcome of the rollout of an order.
type RecordedOutcome struct {
	Order   Order
	Outcome Outcome
}

// Matches reports whether it is the outcome of an order: of that very one, or of one that a
// restore of the log from an older copy has given another offset since.
func (e RecordedOutcome) Matches(o Order) bool {
	if e.Order.Offset == o.Offset {
		return e.Order.Service == o.Service
	}
	renamed := e.Order
	renamed.Offset = o.Offset
	return renamed == o && eventlog.Epoch(e.Order.Offset) < eventlog.Epoch(o.Offset)
}

// EncodeEntry returns the directory's entry of an outcome.
func EncodeEntry(e RecordedOutcome) ([]byte, error) {
	return proto.Marshal(&rolloutpb.Entry{Ended: &rolloutpb.Ended{
		Service: e.Order.Service, Order: e.Order.Offset, Outcome: outcomes[e.Outcome],
		ToVersion: e.Order.ToVersion, DurationMs: e.Order.Duration.Milliseconds(),
	}})
}

// DecodeEntry returns the outcome of an entry of the directory, which also holds others.
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
