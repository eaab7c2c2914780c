package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/crocuscross/crocuscross/balance"
)

// maxSpeedSeries limits the number of backend servers whose speed factor is exported.
const maxSpeedSeries = 100

// SpeedCollector exports the speed factors of backend servers, read at each scrape.
type SpeedCollector struct {
	factors func(limit int) []balance.SpeedFactor
	factor  *prometheus.Desc
}

// NewSpeedCollector returns a collector of the factors that factors returns. The caller registers it.
func NewSpeedCollector(factors func(limit int) []balance.SpeedFactor) *SpeedCollector {
	return &SpeedCollector{
		factors: factors,
		factor: newDesc("server_speed_factor",
			"Time of a call at the backend server over that at a server of median speed, as known to this daemon; the servers that differ most from 1.",
			"service", "host"),
	}
}

// Describe implements prometheus.Collector.
func (c *SpeedCollector) Describe(ch chan<- *prometheus.Desc) {
	// Without factors, a collection shows no description.
	ch <- c.factor
}

// Collect implements prometheus.Collector.
func (c *SpeedCollector) Collect(ch chan<- prometheus.Metric) {
	out := emitter(ch)
	seen := make(map[[2]string]bool)
	for _, f := range c.factors(maxSpeedSeries) {
		// After a restart of its daemon, a server is known under two IDs for a moment.
		labels := [2]string{f.Server.Service, f.Server.Host}
		if !seen[labels] {
			seen[labels] = true
			out.gauge(c.factor, f.Factor, labels[0], labels[1])
		}
	}
}

var _ prometheus.Collector = (*SpeedCollector)(nil)
