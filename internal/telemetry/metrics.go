package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/peer"
	"github.com/crocuscross/crocuscross/peerpb"
)

// namespace is the prefix of all metric names.
const namespace = "crocuscross"

// latencyBuckets are histogram buckets in seconds, from 0.1 ms to 1 min.
var latencyBuckets = prometheus.ExponentialBucketsRange(0.0001, 60, 24)

// kindOK is the kind label of calls that ended with a response of the backend server.
const kindOK = "ok"

// CallMeter counts and times the calls that a daemon forwards.
type CallMeter struct {
	outbound, inbound map[errkind.Kind]callSeries
	attempts          prometheus.Counter
	retries           prometheus.Counter
	outcomeQueries    *prometheus.CounterVec
	linkPlacements    *prometheus.CounterVec
	// InFlight is the number of callers' requests in progress.
	InFlight prometheus.Gauge
	// CallerDisconnects counts the requests whose caller disconnected before they were handled.
	CallerDisconnects prometheus.Counter
	// ServerRequests counts the requests sent to the backend server beside this daemon.
	ServerRequests prometheus.Counter
	// ServerConnections counts the connections opened to that server, LateResponses its responses to
	// earlier calls, which were skipped.
	ServerConnections, LateResponses prometheus.Counter
	// rateLimit and leaving are what that server states about itself in its responses, noticeChanged
	// is when that last changed.
	rateLimit, leaving, noticeChanged prometheus.Gauge
}

// callSeries holds the series of one direction and kind. They are looked up by label once at the
// start, not for every call.
type callSeries struct {
	count prometheus.Counter
	time  prometheus.Observer
}

// NewCallMeter returns a CallMeter whose metrics are registered with reg.
func NewCallMeter(reg prometheus.Registerer) *CallMeter {
	count := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "calls_total",
		Help: "Completed calls, by direction and kind: ok or the kind of error.",
	}, []string{"direction", "kind"})
	duration := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "call_duration_seconds",
		Help: "Time in seconds from the arrival of a call to the end of its response.", Buckets: latencyBuckets,
	}, []string{"direction", "kind"})
	c := &CallMeter{
		attempts: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "attempts_total", Help: "Attempts sent to other daemons.",
		}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "retries_total", Help: "Attempts after the first attempt of a call.",
		}),
		outcomeQueries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "asks_total", Help: "Queries to a gate for the outcome of an attempt, by outcome returned.",
		}, []string{"outcome"}),
		linkPlacements: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "link_placements_total", Help: "Decisions for an attempt of a call whose body is placed by the links of hosts, by result: own_zone, other_zone or rejected.",
		}, []string{"result"}),
		InFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "calls_in_flight", Help: "Callers' requests in progress.",
		}),
		CallerDisconnects: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "caller_gone_total", Help: "Requests whose caller disconnected before they were handled.",
		}),
		ServerRequests: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "server_requests_total", Help: "Requests sent to the backend server beside this daemon.",
		}),
		ServerConnections: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "server_connections_total", Help: "Connections opened to the backend server beside this daemon.",
		}),
		LateResponses: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "server_late_responses_total",
			Help: "Responses that the backend server sent to earlier calls on a connection, which were skipped.",
		}),
		rateLimit: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "server_rate_limit", Help: "Requests per second that the backend server states as its limit; 0 if it states none.",
		}),
		leaving: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "server_leaving", Help: "Whether the backend server states that it is about to exit.",
		}),
		noticeChanged: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "server_notice_changed_timestamp_seconds",
			Help: "Unix time at which the backend server last changed its rate limit or stated that it is about to exit; 0 if it never did.",
		}),
	}
	reg.MustRegister(count, duration, c.attempts, c.retries, c.outcomeQueries, c.linkPlacements, c.InFlight, c.CallerDisconnects,
		c.ServerRequests, c.ServerConnections, c.LateResponses, c.rateLimit, c.leaving, c.noticeChanged)
	c.outbound = newCallSeries("outbound", count, duration)
	c.inbound = newCallSeries("inbound", count, duration)
	return c
}

// newCallSeries returns the series of a direction by the kind of error.
func newCallSeries(direction string, count *prometheus.CounterVec, duration *prometheus.HistogramVec) map[errkind.Kind]callSeries {
	m := make(map[errkind.Kind]callSeries)
	for _, k := range append(errkind.Kinds(), errkind.None) {
		label := string(k)
		if k == errkind.None {
			label = kindOK
		}
		m[k] = callSeries{count.WithLabelValues(direction, label), duration.WithLabelValues(direction, label)}
	}
	return m
}

// observe counts one call of duration d.
func (s callSeries) observe(d time.Duration) {
	s.count.Inc()
	s.time.Observe(d.Seconds())
}

// Outbound counts one completed call from a caller, with the kind and duration that the caller saw.
func (c *CallMeter) Outbound(k errkind.Kind, d time.Duration) { c.outbound[k].observe(d) }

// Inbound counts one completed attempt at this daemon's gate.
func (c *CallMeter) Inbound(k errkind.Kind, d time.Duration) { c.inbound[k].observe(d) }

// SetServerNotice records the rate limit in requests per second that the backend server states, 0
// if it states none, and whether it states that it is about to exit.
func (c *CallMeter) SetServerNotice(rateLimit float64, leaving bool) {
	c.rateLimit.Set(rateLimit)
	c.leaving.Set(boolValue(leaving))
	c.noticeChanged.SetToCurrentTime()
}

// Attempt counts one attempt sent to another daemon. isFirst is false for a retry.
func (c *CallMeter) Attempt(isFirst bool) {
	c.attempts.Inc()
	if !isFirst {
		c.retries.Inc()
	}
}

// LinkPlacement counts one decision about a body that is placed by the links of hosts. rejected means
// that no server could take it in time, inZone that the server is in the availability zone.
func (c *CallMeter) LinkPlacement(rejected, inZone bool) {
	result := "other_zone"
	switch {
	case rejected:
		result = "rejected"
	case inZone:
		result = "own_zone"
	}
	c.linkPlacements.WithLabelValues(result).Inc()
}

// OutcomeQuery counts one query to a gate for the outcome of an attempt, with the outcome returned.
func (c *CallMeter) OutcomeQuery(o peerpb.Outcome) {
	c.outcomeQueries.WithLabelValues(o.String()).Inc()
}

// listenerPeers is the listener label of input from other daemons.
const listenerPeers = "peers"

// PeerMeter counts the bytes exchanged with other daemons and the rejected input. It implements
// peer.Meter.
type PeerMeter struct {
	sent, received map[exchangeKey]prometheus.Counter
	rejected       *prometheus.CounterVec
}

// exchangeKey identifies the series of a kind of exchange with peers in one locality.
type exchangeKey struct {
	kind     peerpb.Kind
	locality peer.Locality
}

// NewPeerMeter returns a PeerMeter whose metrics are registered with reg.
func NewPeerMeter(reg prometheus.Registerer) *PeerMeter {
	bytes := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "peer_bytes_total",
		Help: "Bytes of messages exchanged with other daemons over TCP, by direction, kind of exchange and locality of the other daemon.",
	}, []string{"direction", "kind", "place"})
	m := &PeerMeter{
		sent:     map[exchangeKey]prometheus.Counter{},
		received: map[exchangeKey]prometheus.Counter{},
		rejected: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "rejected_input_total",
			Help: "Rejected input, by listener and reason.",
		}, []string{"listener", "reason"}),
	}
	reg.MustRegister(bytes, m.rejected)
	// The series that alerts use start at 0. Prometheus sees no increase in a series that first
	// appears with a value of 1.
	for _, r := range []peer.RejectReason{peer.RejectSilent, peer.RejectSessions, peer.RejectStreams} {
		m.rejected.WithLabelValues(listenerPeers, string(r))
	}
	for number, name := range peerpb.Kind_name {
		for _, locality := range peer.Localities() {
			e := exchangeKey{peerpb.Kind(number), locality}
			m.sent[e] = bytes.WithLabelValues("sent", name, locality.String())
			m.received[e] = bytes.WithLabelValues("received", name, locality.String())
		}
	}
	return m
}

// Sent implements peer.Meter.
func (m *PeerMeter) Sent(k peerpb.Kind, locality peer.Locality, n int) {
	if c, ok := m.sent[exchangeKey{k, locality}]; ok {
		c.Add(float64(n))
	}
}

// Received implements peer.Meter.
func (m *PeerMeter) Received(k peerpb.Kind, locality peer.Locality, n int) {
	if c, ok := m.received[exchangeKey{k, locality}]; ok {
		c.Add(float64(n))
	}
}

// Rejected implements peer.Meter.
func (m *PeerMeter) Rejected(r peer.RejectReason) { m.RejectedAt(listenerPeers, string(r)) }

// RejectedAt counts one rejected input at a listener.
func (m *PeerMeter) RejectedAt(listener, reason string) {
	m.rejected.WithLabelValues(listener, reason).Inc()
}

var _ peer.Meter = (*PeerMeter)(nil)
