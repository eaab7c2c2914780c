package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/peer"
	"github.com/crocuscross/crocuscross/peerpb"
)

const namespace = "crocuscross"

// latencyBuckets are in seconds, from a tenth of a millisecond to a minute.
var latencyBuckets = prometheus.ExponentialBucketsRange(0.0001, 60, 24)

// kindOK labels the calls that ended with the backend server's answer.
const kindOK = "ok"

// CallMeter counts the calls that pass a daemon.
type CallMeter struct {
	outbound, inbound map[errkind.Kind]recorder
	attempts          prometheus.Counter
	retries           prometheus.Counter
	asks              *prometheus.CounterVec
	InFlight          prometheus.Gauge
	// CallerDisconnects counts the requests whose caller had gone before they were handled.
	CallerDisconnects prometheus.Counter
}

// recorder is resolved once for each kind, so that a call looks no label up.
type recorder struct {
	count prometheus.Counter
	time  prometheus.Observer
}

// NewCallMeter registers the metrics of calls.
func NewCallMeter(reg prometheus.Registerer) *CallMeter {
	count := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "calls_total",
		Help: "Calls ended, by direction and kind of outcome.",
	}, []string{"direction", "kind"})
	duration := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "call_duration_seconds",
		Help: "Time from a call's arrival to the end of its answer.", Buckets: latencyBuckets,
	}, []string{"direction", "kind"})
	c := &CallMeter{
		attempts: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "attempts_total", Help: "Attempts sent to other daemons.",
		}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "retries_total", Help: "Attempts after the first of a call.",
		}),
		asks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "asks_total", Help: "Outcomes asked of a gate, by answer.",
		}, []string{"outcome"}),
		InFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "calls_in_flight", Help: "Callers' requests in progress.",
		}),
		CallerDisconnects: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "caller_gone_total", Help: "Requests whose caller had gone before they were handled.",
		}),
	}
	reg.MustRegister(count, duration, c.attempts, c.retries, c.asks, c.InFlight, c.CallerDisconnects)
	c.outbound = recorders("outbound", count, duration)
	c.inbound = recorders("inbound", count, duration)
	return c
}

func recorders(direction string, count *prometheus.CounterVec, duration *prometheus.HistogramVec) map[errkind.Kind]recorder {
	m := make(map[errkind.Kind]recorder)
	for _, k := range append(errkind.Kinds(), errkind.None) {
		label := string(k)
		if k == errkind.None {
			label = kindOK
		}
		m[k] = recorder{count.WithLabelValues(direction, label), duration.WithLabelValues(direction, label)}
	}
	return m
}

func (r recorder) observe(d time.Duration) {
	r.count.Inc()
	r.time.Observe(d.Seconds())
}

// Outbound counts one call as its caller saw it.
func (c *CallMeter) Outbound(k errkind.Kind, d time.Duration) { c.outbound[k].observe(d) }

// Inbound counts one attempt as the gate saw it.
func (c *CallMeter) Inbound(k errkind.Kind, d time.Duration) { c.inbound[k].observe(d) }

// Attempt counts one attempt sent; first tells it from a retry.
func (c *CallMeter) Attempt(first bool) {
	c.attempts.Inc()
	if !first {
		c.retries.Inc()
	}
}

// OutcomeQuery counts one outcome asked of a gate.
func (c *CallMeter) OutcomeQuery(o peerpb.Outcome) { c.asks.WithLabelValues(o.String()).Inc() }

// listenerPeers labels input from other daemons.
const listenerPeers = "peers"

// PeerMeter counts the bytes between daemons by kind of exchange.
type PeerMeter struct {
	sent, received map[exchange]prometheus.Counter
	rejected       *prometheus.CounterVec
}

// exchange is a kind of exchange with a peer at a place.
type exchange struct {
	kind  peerpb.Kind
	place peer.Locality
}

// NewPeerMeter registers the metrics of exchanges between daemons.
func NewPeerMeter(reg prometheus.Registerer) *PeerMeter {
	bytes := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "peer_bytes_total",
		Help: "Bytes of messages between daemons over TCP, by direction, kind of exchange and place of the other one.",
	}, []string{"direction", "kind", "place"})
	m := &PeerMeter{
		sent:     map[exchange]prometheus.Counter{},
		received: map[exchange]prometheus.Counter{},
		rejected: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "rejected_input_total",
			Help: "Input that was refused, by listener and reason.",
		}, []string{"listener", "reason"}),
	}
	reg.MustRegister(bytes, m.rejected)
	// What alerts look at starts at 0: the first count would be no increase.
	for _, r := range []peer.RejectReason{peer.RejectSilent, peer.RejectSessions, peer.RejectStreams} {
		m.rejected.WithLabelValues(listenerPeers, string(r))
	}
	for number, name := range peerpb.Kind_name {
		for _, place := range peer.Localities() {
			e := exchange{peerpb.Kind(number), place}
			m.sent[e] = bytes.WithLabelValues("sent", name, place.String())
			m.received[e] = bytes.WithLabelValues("received", name, place.String())
		}
	}
	return m
}

// Sent implements peer.Meter.
func (m *PeerMeter) Sent(k peerpb.Kind, place peer.Locality, n int) {
	if c, ok := m.sent[exchange{k, place}]; ok {
		c.Add(float64(n))
	}
}

// Received implements peer.Meter.
func (m *PeerMeter) Received(k peerpb.Kind, place peer.Locality, n int) {
	if c, ok := m.received[exchange{k, place}]; ok {
		c.Add(float64(n))
	}
}

// Rejected implements peer.Meter.
func (m *PeerMeter) Rejected(r peer.RejectReason) { m.RejectedAt(listenerPeers, string(r)) }

// RejectedAt counts refused input at a listener.
func (m *PeerMeter) RejectedAt(listener, reason string) {
	m.rejected.WithLabelValues(listener, reason).Inc()
}

var _ peer.Meter = (*PeerMeter)(nil)
