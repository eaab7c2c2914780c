package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/crocuscross/crocuscross/quarantine"
)

// QuarantineCollector tells how many requests are held for ending backend servers.
type QuarantineCollector struct {
	stats func() quarantine.Stats

	quarantined, suspected *prometheus.Desc
}

// NewQuarantineCollector returns a collector for the caller to register.
func NewQuarantineCollector(stats func() quarantine.Stats) *QuarantineCollector {
	return &QuarantineCollector{
		stats:       stats,
		quarantined: newDesc("quarantined_requests", "Requests kept from backend servers, since several have ended under them."),
		suspected:   newDesc("suspected_requests", "Requests under which backend servers have ended of late, those in quarantine included."),
	}
}

// Describe implements prometheus.Collector.
func (c *QuarantineCollector) Describe(ch chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(c, ch)
}

// Collect implements prometheus.Collector.
func (c *QuarantineCollector) Collect(ch chan<- prometheus.Metric) {
	out, s := emitter(ch), c.stats()
	out.gauge(c.quarantined, float64(s.Quarantined))
	out.gauge(c.suspected, float64(s.Suspected))
}
