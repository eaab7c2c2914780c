package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/crocuscross/crocuscross/capacity"
)

// ZoneCollector exports the load of services by availability zone and the calls that left their
// zone, read at each scrape.
type ZoneCollector struct {
	stats func() capacity.Stats

	use, spills *prometheus.Desc
}

// NewZoneCollector returns a collector of the values that stats returns. The caller registers it.
func NewZoneCollector(stats func() capacity.Stats) *ZoneCollector {
	return &ZoneCollector{
		stats:  stats,
		use:    newDesc("zone_use", "Calls of a service that run or wait, as a fraction of its slots in an availability zone, as known to this daemon.", "service", "availability_zone"),
		spills: newDesc("zone_spills_total", "Attempts sent to another availability zone, by the reason why they left their own.", "reason"),
	}
}

// Describe implements prometheus.Collector. It lists the metrics also while no zone is known.
func (c *ZoneCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- c.use
	ch <- c.spills
}

// Collect implements prometheus.Collector.
func (c *ZoneCollector) Collect(ch chan<- prometheus.Metric) {
	out, s := emitter(ch), c.stats()
	for _, z := range s.Uses {
		out.gauge(c.use, z.Use, z.Service, z.AvailabilityZone)
	}
	for reason, n := range s.Spills {
		out.counter(c.spills, float64(n), reason.String())
	}
}

var _ prometheus.Collector = (*ZoneCollector)(nil)
