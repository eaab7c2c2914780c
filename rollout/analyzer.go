package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

// Analyzer compares the call results of a new version with those of the old one, on the same
// routes over the same time. Faults of the whole service and invalid requests of callers
// affect both versions, and so are not attributed to the new one.
//
// The thresholds favor rollbacks: operators can repeat the rollout of a good version that was
// rolled back, while a bad version that passes fails the calls of callers.
type Analyzer struct {
	// MaxPValue is the p-value at or below which a version is bad: the probability that a
	// version no worse than the old one has at least as many bad answers on some route.
	MaxPValue float64
	// MaxPValueSecondServer replaces MaxPValue for a second server after another server was
	// found bad, since it is then far more likely that the version is bad.
	MaxPValueSecondServer float64
	// MaxPValueToMove replaces MaxPValue when deciding whether traffic may move to the
	// version: the results may be too few for a rollback, and too bad to send all calls there.
	MaxPValueToMove float64
	// MinAgreement prevents a rollback because of one slow or failing host. It is the minimum
	// probability that the other servers have as few bad answers as counted, assuming that
	// their share of bad answers is half that of the worst server.
	MinAgreement float64
	// SlowRatio is the multiple of the old version's median latency from which an answer
	// counts as slow.
	SlowRatio float64
	// MinBadShare is the minimum share of bad answers that is expected of any version.
	MinBadShare float64
	// MinLatencies is the number of latencies of the old version that are needed to evaluate
	// latencies on a route.
	MinLatencies uint64
	// MaxExcessBad is the number of bad answers beyond the expected ones above which a version
	// is bad regardless of probabilities. It must be below 50, since a bad version must not
	// receive calls for long after its 50th bad answer.
	MaxExcessBad float64
}

// DefaultAnalyzer returns an analyzer that detects a version failing one call in five after
// about 20 calls.
func DefaultAnalyzer() Analyzer {
	return Analyzer{MaxPValue: 2e-4, MaxPValueSecondServer: 5e-3, MaxPValueToMove: 5e-2, MinAgreement: 0.1, SlowRatio: 2.5, MinBadShare: 0.015, MinLatencies: 40, MaxExcessBad: 25}
}

// serverVariation is the relative difference in the share of bad answers that is normal between
// two servers of one version: hosts differ in speed, and callers in their requests.
const serverVariation = 0.1

// minBadAnswers is the minimum number of bad answers for which a version can be found bad by
// probability.
const minBadAnswers = 3

// allRoutes is the route of a finding on the sum of all routes.
const allRoutes = "all routes"

// Finding describes the route on which a version is worse than the old one.
type Finding struct {
	Route string
	// Slow is true if the bad answers were slow, false if they failed.
	Slow bool
	// Bad is the number of bad answers among Total answers, Expected the number that is normal.
	Bad, Total uint64
	Expected   float64
}

// String formats the finding for logs and for the reason of an outcome.
func (f Finding) String() string {
	what := "failed"
	if f.Slow {
		what = "were slow"
	}
	return fmt.Sprintf("%s: %d of %d %s, %.1f expected", f.Route, f.Bad, f.Total, what, f.Expected)
}

// forSecondServer returns an analyzer for a second server after another one was found bad.
func (a Analyzer) forSecondServer() Analyzer {
	a.MaxPValue = a.MaxPValueSecondServer
	return a
}

// forMove returns an analyzer that decides whether traffic may move to a version.
func (a Analyzer) forMove() Analyzer {
	a.MaxPValue = a.MaxPValueToMove
	return a
}

// FindRegression compares the counts of each server of the new version with the pooled counts of
// the old version. It returns a finding and true if the new version is worse.
func (a Analyzer) FindRegression(old CountsByRoute, servers []CountsByRoute) (Finding, bool) {
	pooled := CountsByRoute{}
	for _, s := range servers {
		pooled.add(s)
	}
	for _, slow := range []bool{false, true} {
		if f, bad := a.compare(slow, old, pooled, servers); bad {
			return f, true
		}
	}
	return Finding{}, false
}

// sample is the number of bad answers of one version on one route, and of all its answers.
type sample struct{ bad, total uint64 }

// compare compares slow answers if slow is true, failed ones otherwise, on each route and on the
// sum of all routes. The maximum p-value is divided by the number of these comparisons
// (Bonferroni correction).
func (a Analyzer) compare(slow bool, old, pooled CountsByRoute, servers []CountsByRoute) (Finding, bool) {
	routes := slices.Sorted(maps.Keys(pooled))
	maxPValue := a.MaxPValue / float64(len(routes)+1)
	var total Finding
	sums := make([]serverSample, len(servers))
	for _, route := range routes {
		count := a.badCounter(slow, old[route])
		if count == nil {
			continue
		}
		share := a.expectedShare(count(old[route]))
		all := count(pooled[route])
		f := Finding{Route: route, Slow: slow, Bad: all.bad, Total: all.total, Expected: share * float64(all.total)}
		samples := make([]serverSample, len(servers))
		for i, s := range servers {
			samples[i] = serverSample{count(s[route]), share}
			sums[i].merge(samples[i])
		}
		if a.isSignificant(f, samples, maxPValue) {
			return f, true
		}
		total.Bad, total.Total, total.Expected = total.Bad+f.Bad, total.Total+f.Total, total.Expected+f.Expected
	}
	total.Route, total.Slow = allRoutes, slow
	if float64(total.Bad)-total.Expected > a.MaxExcessBad {
		return total, true
	}
	return total, a.isSignificant(total, sums, maxPValue)
}

// badCounter returns a function that counts the slow or the failed answers on a route. It
// returns nil if the old version has too few latencies on the route to tell which answers are slow.
func (a Analyzer) badCounter(slow bool, old *Counts) func(*Counts) sample {
	if !slow {
		return func(c *Counts) sample {
			if c == nil {
				return sample{}
			}
			return sample{c.Failed, c.total()}
		}
	}
	if old == nil || old.latenciesFrom(0) < a.MinLatencies {
		return nil
	}
	from := old.medianBucket() + int(math.Ceil(math.Log(a.SlowRatio)/math.Log(bucketRatio)))
	from = min(from, latencyBuckets-1)
	return func(c *Counts) sample {
		if c == nil {
			return sample{}
		}
		return sample{c.latenciesFrom(from), c.latenciesFrom(0)}
	}
}

// expectedShare returns the share of bad answers to expect of a good version, given the sample
// of the old version. The fewer answers the sample has, the further the result is above its
// share of bad answers.
func (a Analyzer) expectedShare(old sample) float64 {
	share := float64(old.bad+1) / float64(old.total+2)
	deviation := math.Sqrt(share * (1 - share) / float64(old.total+1))
	return min(max(a.MinBadShare, share*(1+serverVariation)+deviation+a.MinBadShare/2), 1)
}

// serverSample is the sample of one server and the share of bad answers that is expected.
type serverSample struct {
	sample
	expectedShare float64
}

// merge adds the sample of another route and averages the expected shares by answers.
func (s *serverSample) merge(o serverSample) {
	expected := s.expected() + o.expected()
	s.bad, s.total = s.bad+o.bad, s.total+o.total
	if s.total > 0 {
		s.expectedShare = expected / float64(s.total)
	}
}

// expected returns the expected number of bad answers.
func (s serverSample) expected() float64 { return s.expectedShare * float64(s.total) }

// excess returns the number of bad answers beyond the expected ones.
func (s serverSample) excess() float64 { return float64(s.bad) - s.expected() }

// isSignificant reports whether a finding is statistically significant and not due to the worst
// server alone.
func (a Analyzer) isSignificant(f Finding, servers []serverSample, maxPValue float64) bool {
	if f.Bad < minBadAnswers || f.Total == 0 || binomialTail(f.Bad, f.Total, f.Expected/float64(f.Total)) > maxPValue {
		return false
	}
	worst := slices.MaxFunc(servers, func(a, b serverSample) int { return cmp.Compare(a.excess(), b.excess()) })
	bad, total := f.Bad-worst.bad, f.Total-worst.total
	half := float64(worst.bad) / float64(worst.total) / 2
	// The lower tail: the probability of this many bad answers or fewer at the other servers.
	return 1-binomialTail(bad+1, total, half) > a.MinAgreement
}

// binomialTail returns the upper tail of the binomial distribution: the probability of at least
// the given number of bad answers among total answers, if each is bad with the same
// probability.
func binomialTail(bad, total uint64, probability float64) float64 {
	switch {
	case bad > total:
		return 0
	case bad == 0 || probability >= 1:
		return 1
	case probability <= 0:
		return 0
	}
	n, k := float64(total), float64(bad)
	lgN, _ := math.Lgamma(n + 1)
	lgK, _ := math.Lgamma(k + 1)
	lgRest, _ := math.Lgamma(n - k + 1)
	term := math.Exp(lgN - lgK - lgRest + k*math.Log(probability) + (n-k)*math.Log1p(-probability))
	odds := probability / (1 - probability)
	sum := 0.0
	for ; k <= n && term > sum*1e-12; k++ {
		sum += term
		term *= odds * (n - k) / (k + 1)
	}
	// If bad is below the mean, the terms increase at first, and the sum includes the bulk of
	// the distribution.
	return min(sum, 1)
}
