package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/peer"
	"github.com/crocuscross/crocuscross/spread"
)

// NewRegistry returns a registry with the process's own metrics.
func NewRegistry() *prometheus.Registry {
	reg := prometheus.NewRegistry()
	reg.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return reg
}

// NewConfigGauges registers the gauges of the version in force and returns the
// function that sets them.
func NewConfigGauges(reg prometheus.Registerer) func(offset uint64, at time.Time) {
	version := prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: namespace, Name: "config_offset", Help: "Configuration offset in force.",
	})
	since := prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: namespace, Name: "config_in_force_since_seconds",
		Help: "Unix time at which the offset came into force; for people only.",
	})
	reg.MustRegister(version, since)
	return func(offset uint64, at time.Time) {
		version.Set(float64(offset))
		since.Set(float64(at.UnixMilli()) / 1e3)
	}
}

// MemberMeter counts what membership does. It implements membership.Meter.
type MemberMeter struct {
	sent, received  *prometheus.CounterVec
	packets         *prometheus.CounterVec
	rejected        *prometheus.CounterVec
	probes          *prometheus.CounterVec
	pauses          prometheus.Counter
	syncIn, syncOut prometheus.Counter
}

// NewMemberMeter registers the metrics of membership.
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
		sent:     counterVec("member_sent_bytes_total", "Bytes of datagrams sent to other daemons, by kind and place of the receiver.", "kind", "place"),
		received: counterVec("member_received_bytes_total", "Bytes of datagrams received.", "kind"),
		packets:  counterVec("member_packets_total", "Datagrams, by direction.", "direction"),
		rejected: counterVec("member_rejected_total", "Datagrams and tables refused.", "reason"),
		probes:   counterVec("member_probes_total", "Probes ended, by result.", "result"),
		pauses:   counter("member_pauses_total", "Times that this process was found to have been halted."),
		syncIn:   counter("member_sync_in_total", "Members taken in from full-table exchanges."),
		syncOut:  counter("member_sync_out_total", "Members handed out in full-table exchanges."),
	}
}

// Sent implements membership.Meter.
func (m *MemberMeter) Sent(k membership.PacketKind, across bool, bytes int) {
	place := peer.SameZone
	if across {
		place = peer.OtherZone
	}
	m.sent.WithLabelValues(string(k), place.String()).Add(float64(bytes))
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

// SpreadMeter counts what spreading configuration costs. It implements
// spread.Meter.
type SpreadMeter struct {
	reads, pushes, pulls *prometheus.CounterVec
	readBytes, records   prometheus.Counter
	applied, rejected    prometheus.Counter
	restored             prometheus.Counter
}

// NewSpreadMeter registers the metrics of spreading.
func NewSpreadMeter(reg prometheus.Registerer) *SpreadMeter {
	opts := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}
	}
	m := &SpreadMeter{
		reads:     prometheus.NewCounterVec(opts("log_reads_total", "Reads at the platform's log, by result."), []string{"result"}),
		pushes:    prometheus.NewCounterVec(opts("pushes_total", "Pushes to other daemons, by content and result."), []string{"content", "result"}),
		pulls:     prometheus.NewCounterVec(opts("pulls_total", "Pulls from other daemons, by result."), []string{"result"}),
		readBytes: prometheus.NewCounter(opts("log_read_bytes_total", "Bytes of records read from the platform's log.")),
		records:   prometheus.NewCounter(opts("log_read_records_total", "Records read from the platform's log.")),
		applied:   prometheus.NewCounter(opts("records_applied_total", "Configuration records folded, the rejected ones too.")),
		rejected:  prometheus.NewCounter(opts("records_rejected_total", "Configuration records folded that changed nothing.")),
		restored:  prometheus.NewCounter(opts("log_restored_total", "Times that this daemon found the platform's log restored from an older copy.")),
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
