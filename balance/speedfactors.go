package balance

import (
	"cmp"
	"math"
	"slices"

	"github.com/crocuscross/crocuscross/backend"
)

// SpeedFactor is the speed of a backend server as known to a picker.
type SpeedFactor struct {
	Server backend.ID
	// Factor is the time of a call at the server over that at a server of median speed.
	Factor float64
}

// SpeedFactors returns the factors of the servers whose gates have reported times in the last
// seconds, at most limit of them: those that differ most from 1. It returns none if calls are not
// placed by speed.
func (p *Picker) SpeedFactors(limit int) []SpeedFactor {
	var all []SpeedFactor
	for _, pl := range *p.pools.Load() {
		s := pl.current.Load().speeds
		if s == nil {
			continue
		}
		for i, m := range pl.members {
			if s.known[i] {
				all = append(all, SpeedFactor{m.server.ID, s.factors[i]})
			}
		}
	}
	slices.SortFunc(all, func(a, b SpeedFactor) int {
		return cmp.Or(
			cmp.Compare(math.Abs(math.Log(b.Factor)), math.Abs(math.Log(a.Factor))),
			cmp.Compare(a.Server.Service, b.Server.Service), cmp.Compare(a.Server.Host, b.Server.Host),
		)
	})
	return all[:min(len(all), limit)]
}
