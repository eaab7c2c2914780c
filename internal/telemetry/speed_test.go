package telemetry

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/balance"
)

// A server that is known under two IDs must not make the whole scrape fail with a duplicate series,
// and the number of series is bounded.
func TestSpeedCollector(t *testing.T) {
	limit := 0
	v := scrape(t, NewSpeedCollector(func(n int) []balance.SpeedFactor {
		limit = n
		return []balance.SpeedFactor{
			{Server: backend.ID{Host: "h1", Boot: 2, Service: "signer"}, Factor: 2.5},
			{Server: backend.ID{Host: "h1", Boot: 1, Service: "signer"}, Factor: 1.5},
		}
	}))
	must.Eq(t, maxSpeedSeries, limit)
	must.MapLen(t, 1, v)
	for _, factor := range v {
		must.Eq(t, 2.5, factor)
	}
}
