package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/crocuscross/crocuscross/gate"
	"github.com/crocuscross/crocuscross/quota"
)

// GateCollector tells a gate's load at each scrape.
type GateCollector struct {
	load func() gate.Load

	inUse, queued, slots, draining, serviceTime *prometheus.Desc
}

// NewGateCollector returns a collector for the caller to register.
func NewGateCollector(load func() gate.Load) *GateCollector {
	return &GateCollector{
		load:        load,
		inUse:       newDesc("gate_in_use", "Slots of the backend server in use."),
		queued:      newDesc("gate_queued", "Calls that wait for a slot."),
		slots:       newDesc("gate_slots", "Slots handed out at most; below what was announced while the backend server sheds calls."),
		draining:    newDesc("gate_draining", "Whether the gate refuses new calls."),
		serviceTime: newDesc("gate_service_time_seconds", "Moving mean of the time that a call holds its slot."),
	}
}

// Describe implements prometheus.Collector.
func (c *GateCollector) Describe(ch chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(c, ch)
}

// Collect implements prometheus.Collector.
func (c *GateCollector) Collect(ch chan<- prometheus.Metric) {
	out, l := emitter(ch), c.load()
	out.gauge(c.inUse, float64(l.InUse))
	out.gauge(c.queued, float64(l.Queued))
	out.gauge(c.slots, float64(l.Slots))
	out.gauge(c.draining, flag(l.Draining))
	out.gauge(c.serviceTime, l.ServiceTime.Seconds())
}

// QuotaCollector tells what holding customers to their contracts does and
// keeps.
type QuotaCollector struct {
	stats func() quota.Stats

	refused, asks, served      *prometheus.Desc
	customers, ledgers, leases *prometheus.Desc
}

// NewQuotaCollector returns a collector for the caller to register.
func NewQuotaCollector(stats func() quota.Stats) *QuotaCollector {
	return &QuotaCollector{
		stats:     stats,
		refused:   newDesc("quota_refused_total", "Calls refused since the contract was used up."),
		asks:      newDesc("quota_asks_total", "Requests to the owners of contracts on other daemons, by result.", "result"),
		served:    newDesc("quota_served_total", "Requests served as an owner."),
		customers: newDesc("quota_customers", "Customers with calls here of late."),
		ledgers:   newDesc("quota_ledgers", "Contracts that this daemon owns and leases out."),
		leases:    newDesc("quota_leases", "Leases in those."),
	}
}

// Describe implements prometheus.Collector.
func (c *QuotaCollector) Describe(ch chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(c, ch)
}

// Collect implements prometheus.Collector.
func (c *QuotaCollector) Collect(ch chan<- prometheus.Metric) {
	out, s := emitter(ch), c.stats()
	out.counter(c.refused, float64(s.Refused))
	out.counter(c.asks, float64(s.Sent-s.Failed), resultLabel(true))
	out.counter(c.asks, float64(s.Failed), resultLabel(false))
	out.counter(c.served, float64(s.Served))
	out.gauge(c.customers, float64(s.ActiveCustomers))
	out.gauge(c.ledgers, float64(s.Ledgers))
	out.gauge(c.leases, float64(s.Leases))
}

var (
	_ prometheus.Collector = (*BoardCollector)(nil)
	_ prometheus.Collector = (*GateCollector)(nil)
	_ prometheus.Collector = (*QuotaCollector)(nil)
)
