package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

// Judge tells a bad version from a good one by comparison with the other version, on the
// same routes over the same time. What strikes the whole service, or a caller's own bad
// requests, strikes both and speaks against neither.
//
// A good version that is taken back is tried again by its operators; a bad one that is let
// through fails callers. So it takes little to take one back.
type Judge struct {
	// MaxChance is the greatest probability, of a version that is no worse than the other, to
	// look as bad as this one does on some route.
	MaxChance float64
	// MaxChanceAgain is MaxChance for a second server once another one looks bad: that the
	// version is bad is then far more likely than before.
	MaxChanceAgain float64
	// MaxChanceToMove is MaxChance for the traffic to move to the version: too little may have
	// been seen of it to take it back, and too much to send all calls there.
	MaxChanceToMove float64
	// MinAgreement is the least probability, were all servers half as bad as the worst, of the
	// others to look as good as they do: one slow or failing host must not have a version taken back.
	MinAgreement float64
	// SlowRatio is how many times longer than the other version's median an answer takes
	// that counts as slow.
	SlowRatio float64
	// Baseline is the least share of bad answers that is taken for usual.
	Baseline float64
	// MinTimed is the least number of the other version's answers that tell what is slow.
	MinTimed uint64
	// MaxBad is how many bad answers beyond the usual ones are too many in any case. Fifty are
	// the most that a version may give for long.
	MaxBad float64
}

// DefaultJudge finds a version that fails one call in five after some twenty calls.
func DefaultJudge() Judge {
	return Judge{MaxChance: 2e-4, MaxChanceAgain: 5e-3, MaxChanceToMove: 5e-2, MinAgreement: 0.1, SlowRatio: 2.5, Baseline: 0.015, MinTimed: 40, MaxBad: 25}
}

// unlikeness is by what part two servers of one version may differ in their share of bad
// answers: hosts differ in speed, and callers in what they ask for.
const unlikeness = 0.1

// minBad is the fewest bad answers that count against a version.
const minBad = 3

// allRoutes is the name of the sum of all routes in findings.
const allRoutes = "all routes"

// Finding is what speaks against a version.
type Finding struct {
	Route string
	// Slow is whether answers came late, else they failed.
	Slow bool
	// Bad of Of answers were bad, where Expected would be usual.
	Bad, Of  uint64
	Expected float64
}

// String tells the finding to people.
func (f Finding) String() string {
	what := "failed"
	if f.Slow {
		what = "were slow"
	}
	return fmt.Sprintf("%s: %d of %d %s, %.1f expected", f.Route, f.Bad, f.Of, what, f.Expected)
}

// again returns the judge of a further server once one looks bad.
func (j Judge) again() Judge {
	j.MaxChance = j.MaxChanceAgain
	return j
}

// toMove returns the judge of a version before the traffic moves to it.
func (j Judge) toMove() Judge {
	j.MaxChance = j.MaxChanceToMove
	return j
}

// FindsWorse reports whether the servers of the new version are bad beside the old one's
// tally, and why.
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

// sample is bad answers among all, of one version on one route.
type sample struct{ bad, of uint64 }

// looksAt judges by failures or by latencies.
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

// counter returns how to count bad answers on a route, nil where the old version tells too
// little to know what is slow there.
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

// usual returns the share of bad answers that the old version may well have too: more than
// was seen of it, the less was seen.
func (j Judge) usual(old sample) float64 {
	share := float64(old.bad+1) / float64(old.of+2)
	deviation := math.Sqrt(share * (1 - share) / float64(old.of+1))
	return min(max(j.Baseline, share*(1+unlikeness)+deviation+j.Baseline/2), 1)
}

// serverSample is the answers of one server with the share of bad ones that is usual.
type serverSample struct {
	sample
	usual float64
}

func (l *serverSample) merge(o serverSample) {
	expected := l.expected() + o.expected()
	l.bad, l.of = l.bad+o.bad, l.of+o.of
	if l.of > 0 {
		l.usual = expected / float64(l.of)
	}
}

func (l serverSample) expected() float64 { return l.usual * float64(l.of) }

func (l serverSample) excess() float64 { return float64(l.bad) - l.expected() }

// convinces reports whether a finding is hardly chance, and the servers do not contradict
// each other.
func (j Judge) convinces(f Finding, servers []serverSample, maxChance float64) bool {
	if f.Bad < minBad || f.Of == 0 || binomialTail(f.Bad, f.Of, f.Expected/float64(f.Of)) > maxChance {
		return false
	}
	worst := slices.MaxFunc(servers, func(a, b serverSample) int { return cmp.Compare(a.excess(), b.excess()) })
	bad, of := f.Bad-worst.bad, f.Of-worst.of
	half := float64(worst.bad) / float64(worst.of) / 2
	// The lower tail: the others would have so few bad answers, or fewer.
	return 1-binomialTail(bad+1, of, half) > j.MinAgreement
}

// binomialTail returns the probability of bad answers or more among so many, each with the same
// probability (the upper tail of the binomial distribution).
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
	// Where bad answers are fewer than usual the terms rise first; they sum to the bulk.
	return min(sum, 1)
}
