package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

// Judge compares the call results of a new version with those of the old one, on the same
// routes over the same time. Faults of the whole service and invalid requests of callers
// affect both versions, and so are not attributed to the new one.
//
// The thresholds favor rollbacks: operators can repeat the rollout of a good version that was
// rolled back, while a bad version that passes fails the calls of callers.
type Judge struct {
	// MaxChance is the p-value at or below which a version is bad: the probability that a
	// version no worse than the old one has at least as many bad answers on some route.
	MaxChance float64
	// MaxChanceAgain replaces MaxChance for a second server after another server was found
	// bad, since it is then far more likely that the version is bad.
	MaxChanceAgain float64
	// MaxChanceToMove replaces MaxChance when deciding whether traffic may move to the
	// version: the results may be too few for a rollback, and too bad to send all calls there.
	MaxChanceToMove float64
	// MinAgreement prevents a rollback because of one slow or failing host. It is the minimum
	// probability that the other servers have as few bad answers as counted, assuming that
	// their share of bad answers is half that of the worst server.
	MinAgreement float64
	// SlowRatio is the multiple of the old version's median latency from which an answer
	// counts as slow.
	SlowRatio float64
	// Baseline is the minimum share of bad answers that is expected of any version.
	Baseline float64
	// MinTimed is the number of latencies of the old version that are needed to evaluate
	// latencies on a route.
	MinTimed uint64
	// MaxBad is the number of bad answers beyond the expected ones above which a version is bad
	// regardless of probabilities. It is below 50 since a bad version must not receive calls
	// for long after its 50th bad answer.
	MaxBad float64
}

// DefaultJudge returns an analyzer that detects a version failing one call in five after about
// 20 calls.
func DefaultJudge() Judge {
	return Judge{MaxChance: 2e-4, MaxChanceAgain: 5e-3, MaxChanceToMove: 5e-2, MinAgreement: 0.1, SlowRatio: 2.5, Baseline: 0.015, MinTimed: 40, MaxBad: 25}
}

// serverVariation is the relative difference in the share of bad answers that is normal between
// two servers of one version: hosts differ in speed, and callers in their requests.
const unlikeness = 0.1

// minBad is the minimum number of bad answers for which a version can be found bad by
// probability.
const minBad = 3

// allRoutes is the route of a finding on the sum of all routes.
const allRoutes = "all routes"

// Finding describes the route on which a version is worse than the old one.
type Finding struct {
	Route string
	// Slow is true if the bad answers were slow, false if they failed.
	Slow bool
	// Bad is the number of bad answers among Of answers. Expected bad answers would be normal.
	Bad, Of  uint64
	Expected float64
}

// String formats the finding for logs and for the reason of an outcome.
func (f Finding) String() string {
	what := "failed"
	if f.Slow {
		what = "were slow"
	}
	return fmt.Sprintf("%s: %d of %d %s, %.1f expected", f.Route, f.Bad, f.Of, what, f.Expected)
}

// again returns an analyzer for a second server after another one was found bad.
func (j Judge) again() Judge {
	j.MaxChance = j.MaxChanceAgain
	return j
}

// toMove returns an analyzer that decides whether traffic may move to a version.
func (j Judge) toMove() Judge {
	j.MaxChance = j.MaxChanceToMove
	return j
}

// FindsWorse compares the counts of each server of the new version with the pooled counts of
// the old version. It returns a finding and true if the new version is worse.
func (j Judge) FindsWorse(old Tally, servers []Tally) (Finding, bool) {
	pooled := Tally{}
	for _, s := range servers {
		pooled.add(s)
	}
	for _, slow := range []bool{false, true} {
		if f, bad := j.looksAt(slow, old, pooled, servers); bad {
			return f, true
		}
	}
	return Finding{}, false
}

// sample is the number of bad answers of one version on one route, and of all its answers.
type sample struct{ bad, of uint64 }

// looksAt compares slow answers if slow is true, failed ones otherwise, on each route and on the
// sum of all routes. The maximum p-value is divided by the number of these comparisons
// (Bonferroni correction).
func (j Judge) looksAt(slow bool, old, pooled Tally, servers []Tally) (Finding, bool) {
	routes := slices.Sorted(maps.Keys(pooled))
	maxChance := j.MaxChance / float64(len(routes)+1)
	var total Finding
	sums := make([]serverSample, len(servers))
	for _, route := range routes {
		count := j.counter(slow, old[route])
		if count == nil {
			continue
		}
		usual := j.usual(count(old[route]))
		all := count(pooled[route])
		f := Finding{Route: route, Slow: slow, Bad: all.bad, Of: all.of, Expected: usual * float64(all.of)}
		here := make([]serverSample, len(servers))
		for i, s := range servers {
			here[i] = serverSample{count(s[route]), usual}
			sums[i].merge(here[i])
		}
		if j.convinces(f, here, maxChance) {
			return f, true
		}
		total.Bad, total.Of, total.Expected = total.Bad+f.Bad, total.Of+f.Of, total.Expected+f.Expected
	}
	total.Route, total.Slow = allRoutes, slow
	if float64(total.Bad)-total.Expected > j.MaxBad {
		return total, true
	}
	return total, j.convinces(total, sums, maxChance)
}

// counter returns a function that counts the slow or the failed answers on a route. It returns
// nil if the old version has too few latencies on the route to tell which answers are slow.
func (j Judge) counter(slow bool, old *Counts) func(*Counts) sample {
	if !slow {
		return func(c *Counts) sample {
			if c == nil {
				return sample{}
			}
			return sample{c.Failed, c.ended()}
		}
	}
	if old == nil || old.timed(0) < j.MinTimed {
		return nil
	}
	from := old.median() + int(math.Ceil(math.Log(j.SlowRatio)/math.Log(bucketRatio)))
	from = min(from, latencyBuckets-1)
	return func(c *Counts) sample {
		if c == nil {
			return sample{}
		}
		return sample{c.timed(from), c.timed(0)}
	}
}

// usual returns the share of bad answers to expect of a good version, given the sample of the
// old version. The fewer answers the sample has, the further the result is above its share of
// bad answers.
func (j Judge) usual(old sample) float64 {
	share := float64(old.bad+1) / float64(old.of+2)
	deviation := math.Sqrt(share * (1 - share) / float64(old.of+1))
	return min(max(j.Baseline, share*(1+unlikeness)+deviation+j.Baseline/2), 1)
}

// serverSample is the sample of one server and the share of bad answers that is expected.
type serverSample struct {
	sample
	usual float64
}

// merge adds the sample of another route and averages the expected shares by answers.
func (l *serverSample) merge(o serverSample) {
	expected := l.expected() + o.expected()
	l.bad, l.of = l.bad+o.bad, l.of+o.of
	if l.of > 0 {
		l.usual = expected / float64(l.of)
	}
}

// expected returns the expected number of bad answers.
func (l serverSample) expected() float64 { return l.usual * float64(l.of) }

// excess returns the number of bad answers beyond the expected ones.
func (l serverSample) excess() float64 { return float64(l.bad) - l.expected() }

// convinces reports whether a finding is statistically significant and not due to the worst
// server alone.
func (j Judge) convinces(f Finding, servers []serverSample, maxChance float64) bool {
	if f.Bad < minBad || f.Of == 0 || binomialTail(f.Bad, f.Of, f.Expected/float64(f.Of)) > maxChance {
		return false
	}
	worst := slices.MaxFunc(servers, func(a, b serverSample) int { return cmp.Compare(a.excess(), b.excess()) })
	bad, of := f.Bad-worst.bad, f.Of-worst.of
	half := float64(worst.bad) / float64(worst.of) / 2
	// The lower tail: the probability of this many bad answers or fewer at the other servers.
	return 1-binomialTail(bad+1, of, half) > j.MinAgreement
}

// binomialTail returns the upper tail of the binomial distribution: the probability of at least
// bad bad answers among of answers, each of which is bad with the given probability.
func binomialTail(bad, of uint64, probability float64) float64 {
	switch {
	case bad > of:
		return 0
	case bad == 0 || probability >= 1:
		return 1
	case probability <= 0:
		return 0
	}
	n, k := float64(of), float64(bad)
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
