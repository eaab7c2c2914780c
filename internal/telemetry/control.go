package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/peer"
	"github.com/crocuscross/crocuscross/spread"
)

// NewRegistry returns a registry with the metrics of the Go runtime and the process.
func NewRegistry() *prometheus.Registry {
	reg := prometheus.NewRegistry()
	reg.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return reg
}

// NewConfigGauges registers the gauges of the configuration in force and returns the function that
// sets them to an offset and the time at which it came into force.
func NewConfigGauges(reg prometheus.Registerer) func(offset uint64, at time.Time) {
	version := prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: namespace, Name: "config_offset", Help: "Configuration offset in force.",
	})
	since := prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: namespace, Name: "config_in_force_since_seconds",
		Help: "Unix time in seconds at which the offset came into force, by this host's clock; informational only.",
	})
	reg.MustRegister(version, since)
	return func(offset uint64, at time.Time) {
		version.Set(float64(offset))
		since.Set(float64(at.UnixMilli()) / 1e3)
	}
}

// MemberMeter counts the datagrams, probes and table exchanges of membership. It implements
// membership.Meter.
type MemberMeter struct {
	sent, received  *prometheus.CounterVec
	packets         *prometheus.CounterVec
	rejected        *prometheus.CounterVec
	probes          *prometheus.CounterVec
	pauses          prometheus.Counter
	syncIn, syncOut prometheus.Counter
}

// NewMemberMeter returns a MemberMeter whose metrics are registered with reg.
func NewMemberMeter(reg prometheus.Registerer) *MemberMeter {
	counterVec := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
		reg.MustRegister(c)
		return c
	}
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
		reg.MustRegister(c)
		return c
	}
	return &MemberMeter{
		sent:     counterVec("member_sent_bytes_total", "Bytes of datagrams sent to other daemons, by kind and locality of the receiver.", "kind", "place"),
		received: counterVec("member_received_bytes_total", "Bytes of datagrams received, by kind.", "kind"),
		packets:  counterVec("member_packets_total", "Datagrams sent and received, by direction.", "direction"),
		rejected: counterVec("member_rejected_total", "Datagrams and member tables rejected, by reason.", "reason"),
		probes:   counterVec("member_probes_total", "Completed probes, by result.", "result"),
		pauses:   counter("member_pauses_total", "Detected pauses of this process."),
		syncIn:   counter("member_sync_in_total", "Members received in full-table exchanges."),
		syncOut:  counter("member_sync_out_total", "Members sent in full-table exchanges."),
	}
}

// Sent implements membership.Meter.
func (m *MemberMeter) Sent(k membership.PacketKind, crossZone bool, bytes int) {
	locality := peer.SameZone
	if crossZone {
		locality = peer.OtherZone
	}
	m.sent.WithLabelValues(string(k), locality.String()).Add(float64(bytes))
	m.packets.WithLabelValues("sent").Inc()
}

// Received implements membership.Meter.
func (m *MemberMeter) Received(k membership.PacketKind, bytes int) {
	m.received.WithLabelValues(string(k)).Add(float64(bytes))
	m.packets.WithLabelValues("received").Inc()
}

// Rejected implements membership.Meter.
func (m *MemberMeter) Rejected(r membership.RejectReason) {
	m.rejected.WithLabelValues(string(r)).Inc()
}

// Probed implements membership.Meter.
func (m *MemberMeter) Probed(answered bool) { m.probes.WithLabelValues(resultLabel(answered)).Inc() }

// Paused implements membership.Meter.
func (m *MemberMeter) Paused(time.Duration) { m.pauses.Inc() }

// Synced implements membership.Meter.
func (m *MemberMeter) Synced(in, out int) {
	m.syncIn.Add(float64(in))
	m.syncOut.Add(float64(out))
}

// SpreadMeter counts the reads, pushes, pulls and applied records of configuration distribution. It
// implements spread.Meter.
type SpreadMeter struct {
	reads, pushes, pulls *prometheus.CounterVec
	readBytes, records   prometheus.Counter
	applied, rejected    prometheus.Counter
	restored             prometheus.Counter
}

// NewSpreadMeter returns a SpreadMeter whose metrics are registered with reg.
func NewSpreadMeter(reg prometheus.Registerer) *SpreadMeter {
	opts := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}
	}
	m := &SpreadMeter{
		reads:     prometheus.NewCounterVec(opts("log_reads_total", "Reads from the platform's log, by result."), []string{"result"}),
		pushes:    prometheus.NewCounterVec(opts("pushes_total", "Pushes to other daemons, by content and result."), []string{"content", "result"}),
		pulls:     prometheus.NewCounterVec(opts("pulls_total", "Pulls from other daemons, by result."), []string{"result"}),
		readBytes: prometheus.NewCounter(opts("log_read_bytes_total", "Bytes of records read from the platform's log.")),
		records:   prometheus.NewCounter(opts("log_read_records_total", "Records read from the platform's log.")),
		applied:   prometheus.NewCounter(opts("records_applied_total", "Configuration records applied, including rejected ones.")),
		rejected:  prometheus.NewCounter(opts("records_rejected_total", "Configuration records that were rejected and changed nothing.")),
		restored:  prometheus.NewCounter(opts("log_restored_total", "Times that this daemon detected that the platform's log was restored from an older copy.")),
	}
	reg.MustRegister(m.reads, m.pushes, m.pulls, m.readBytes, m.records, m.applied, m.rejected, m.restored)
	return m
}

// LogRead implements spread.Meter.
func (m *SpreadMeter) LogRead(records, bytes int, err error) {
	m.reads.WithLabelValues(resultLabel(err == nil)).Inc()
	m.records.Add(float64(records))
	m.readBytes.Add(float64(bytes))
}

// Pushed implements spread.Meter.
func (m *SpreadMeter) Pushed(digest bool, err error) {
	content := "records"
	if digest {
		content = "digest"
	}
	m.pushes.WithLabelValues(content, resultLabel(err == nil)).Inc()
}

// Pulled implements spread.Meter.
func (m *SpreadMeter) Pulled(_ int, err error) {
	m.pulls.WithLabelValues(resultLabel(err == nil)).Inc()
}

// Applied implements spread.Meter.
func (m *SpreadMeter) Applied(n int) { m.applied.Add(float64(n)) }

// Rejected implements spread.Meter.
func (m *SpreadMeter) Rejected() { m.rejected.Inc() }

// Restored implements spread.Meter.
func (m *SpreadMeter) Restored() { m.restored.Inc() }

// resultLabel returns the value of a result label that distinguishes only success and failure.
func resultLabel(ok bool) string {
	if ok {
		return "ok"
	}
	return "error"
}

var (
	_ membership.Meter = (*MemberMeter)(nil)
	_ spread.Meter     = (*SpreadMeter)(nil)
)
