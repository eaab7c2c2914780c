package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/crocuscross/crocuscross/gate"
	"github.com/crocuscross/crocuscross/quota"
)

// GateCollector exports the load of a gate, read at each scrape.
type GateCollector struct {
	load func() gate.Load

	inUse, queued, slots, draining, serviceTime, linkWait, rejected, reserved *prometheus.Desc

	waitingAccounts, accountRejected *prometheus.Desc
}

// NewGateCollector returns a collector of the loads that load returns. The caller registers it.
func NewGateCollector(load func() gate.Load) *GateCollector {
	return &GateCollector{
		load:            load,
		rejected:        newDesc("gate_rate_rejected_total", "Calls that only the rate limit stated by the backend server kept from starting in time."),
		inUse:           newDesc("gate_in_use", "Slots of the backend server that are in use."),
		queued:          newDesc("gate_queued", "Calls waiting for a slot."),
		slots:           newDesc("gate_slots", "Maximum number of slots that the gate grants; lower than announced while the backend server sheds calls."),
		reserved:        newDesc("gate_reserved_slots", "Slots that calls which can wait leave to urgent calls (load.urgent_slots)."),
		waitingAccounts: newDesc("gate_waiting_accounts", "Accounts with waiting calls, counted once for each route (load.account_shares)."),
		accountRejected: newDesc("gate_account_rejected_total", "Calls rejected because of the waiting calls of their account alone (load.account_shares)."),
		draining:        newDesc("gate_draining", "Whether the gate rejects new calls because it is draining."),
		serviceTime:     newDesc("gate_service_time_seconds", "Moving mean of the time in seconds for which a call holds its slot."),
		linkWait:        newDesc("link_wait_seconds", "Expected time in seconds until the host's network link has carried the request bodies that are already requested; 0 without link_mbps."),
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
	out.gauge(c.reserved, float64(l.ReservedSlots))
	out.gauge(c.waitingAccounts, float64(l.WaitingAccounts))
	out.counter(c.accountRejected, float64(l.AccountRejected))
	out.gauge(c.draining, boolValue(l.Draining))
	out.gauge(c.serviceTime, l.ServiceTime.Seconds())
	out.gauge(c.linkWait, l.LinkWait.Seconds())
	out.counter(c.rejected, float64(l.RateRejected))
}

// QuotaCollector exports the enforcement of customers' contracts: refused calls, requests between
// holders and owners, and the sizes of the tables. It reads them at each scrape.
type QuotaCollector struct {
	stats func() quota.Stats

	refused, requests, served  *prometheus.Desc
	customers, ledgers, leases *prometheus.Desc
}

// NewQuotaCollector returns a collector of the values that stats returns. The caller registers it.
func NewQuotaCollector(stats func() quota.Stats) *QuotaCollector {
	return &QuotaCollector{
		stats:     stats,
		refused:   newDesc("quota_refused_total", "Calls refused because their customer's contract was used up."),
		requests:  newDesc("quota_asks_total", "Requests sent to the owners of contracts on other daemons, by result.", "result"),
		served:    newDesc("quota_served_total", "Requests from other daemons served as the owner of a contract."),
		customers: newDesc("quota_customers", "Customers with recent calls to this daemon."),
		ledgers:   newDesc("quota_ledgers", "Contracts that this daemon owns and grants leases for."),
		leases:    newDesc("quota_leases", "Leases granted for the contracts that this daemon owns."),
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
	out.counter(c.requests, float64(s.Sent-s.Failed), resultLabel(true))
	out.counter(c.requests, float64(s.Failed), resultLabel(false))
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
