package gate

import "time"

// Weights outside of minWeight and maxWeight are replaced by these, so that sums of weights and of
// their inverses stay finite.
const (
	minWeight = 1e-6
	maxWeight = 1e12
)

// weights holds the sum and the number of the known weights of the accounts at a gate, and the sum of
// their inverses.
type weights struct {
	sum, inverseSum float64
	known           int
}

// mean returns the mean of the known weights, 1 if there is none.
func (w *weights) mean() float64 {
	if w.known == 0 {
		return 1
	}
	return w.sum / float64(w.known)
}

// scale returns the weight at which tags advance by slot time: the harmonic mean of the known weights,
// 1 if there is none. It is at most the lowest weight times the number of accounts, so that a single
// very high limit does not make the tags of all other accounts advance by hours.
func (w *weights) scale() float64 {
	if w.known == 0 {
		return 1
	}
	return float64(w.known) / w.inverseSum
}

// add adds a weight if it is known.
func (w *weights) add(weight float64) {
	if weight > 0 {
		w.sum += weight
		w.inverseSum += 1 / weight
		w.known++
	}
}

// countWeights sums up the known weights again.
func (q *fairQueue) countWeights() {
	q.weights = weights{}
	for _, s := range q.shares {
		for _, a := range s.accounts {
			q.weights.add(a.weight)
		}
	}
}

// setWeight changes the weight of an account. The slot time that the account has consumed beyond the
// virtual time is converted to the new weight: otherwise an account whose limit is raised would wait
// for as long as its calls counted before.
func (q *fairQueue) setWeight(a *account, weight float64) {
	if weight > 0 {
		weight = min(max(weight, minWeight), maxWeight)
	} else {
		weight = 0
	}
	if weight == a.weight {
		return
	}
	before, wasKnown := a.relativeWeight(), a.weight > 0
	a.weight = weight
	if wasKnown {
		q.countWeights()
	} else {
		q.weights.add(weight)
	}
	if debt := a.tag - a.share.virtualTime; debt > 0 {
		a.tag = a.share.virtualTime + time.Duration(float64(debt)*before/a.relativeWeight())
	}
}

// relativeWeight returns the weight of the account, or the mean of the known ones if it is not known,
// relative to the scale of the tags. Since the scale follows the weights, tags remain comparable when
// limits become known after a restart.
func (a *account) relativeWeight() float64 {
	w := a.share.weights
	if a.weight == 0 {
		return w.mean() / w.scale()
	}
	return a.weight / w.scale()
}

// weighted returns the part by which the account's tag advances for a slot time.
func (a *account) weighted(slotTime time.Duration) time.Duration {
	return time.Duration(float64(slotTime) / a.relativeWeight())
}

// excessCalls returns the number of the account's waiting calls without the first one, relative to
// its weight.
func (a *account) excessCalls() float64 {
	return float64(len(a.waiting)-1) / a.relativeWeight()
}
