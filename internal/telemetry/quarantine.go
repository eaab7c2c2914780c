package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/crocuscross/crocuscross/quarantine"
)

// QuarantineCollector exports the numbers of requests that are quarantined or suspected of crashing
// backend servers, read at each scrape.
type QuarantineCollector struct {
	stats func() quarantine.Stats

	quarantined, suspected *prometheus.Desc
}

// NewQuarantineCollector returns a collector of the numbers that stats returns. The caller
// registers it.
func NewQuarantineCollector(stats func() quarantine.Stats) *QuarantineCollector {
	return &QuarantineCollector{
		stats:       stats,
		quarantined: newDesc("quarantined_requests", "Requests in quarantine: they are not sent to backend servers because several servers have crashed while handling them."),
		suspected:   newDesc("suspected_requests", "Requests during which backend servers have recently crashed, including those in quarantine."),
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
