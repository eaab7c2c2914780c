package balance_test

import (
	"testing"
	"time"
)

// signers is the signer service of load A: 23 servers with speeds 0.7, 0.7 and 1.6 in three zones.
func signers() speedLoad {
	return speedLoad{
		routes: []speedRoute{
			{name: "signature", rate: 297, work: 86 * time.Millisecond, variation: 0.8, objective: 250 * time.Millisecond, timeout: 800 * time.Millisecond, kilobytes: 6.2},
			{name: "audit", rate: 274, work: 490 * time.Millisecond, variation: 0.5, objective: 3 * time.Second, timeout: 2500 * time.Millisecond, priority: 2, kilobytes: 0.4},
			{name: "lookup L2", rate: 545, work: 31 * time.Millisecond, variation: 0.5, objective: 120 * time.Millisecond, timeout: 400 * time.Millisecond, nested: true, kilobytes: 0.4},
		},
		zones: []int{9, 8, 6}, callers: []int{521, 647, 680}, speeds: []float64{0.7, 0.7, 1.6},
		slots: 9, length: 15 * time.Second, seed: 1,
	}
}

// desk is the desk service of load B: 34 servers with speeds 0.55, 1.2, 1.2 and 1.2 in four zones,
// 0.15 of them 2.5 times as slow for 600 ms at a time.
func desk() speedLoad {
	return speedLoad{
		routes: []speedRoute{
			{name: "schedule", rate: 1090, work: 230 * time.Millisecond, variation: 0.3, longShare: 0.03, longBy: 7, objective: 800 * time.Millisecond, timeout: 1200 * time.Millisecond, kilobytes: 5, waitShare: 0.7, waitTime: 0.06},
		},
		zones: []int{9, 9, 8, 8}, callers: []int{1, 1, 1, 1}, speeds: []float64{0.55, 1.2, 1.2, 1.2},
		slots: 18, length: 12 * time.Second, seed: 1, slowShare: 0.15, slowBy: 2.5, slowTime: 600 * time.Millisecond,
	}
}

func TestSpeedLoads(t *testing.T) {
	for name, l := range map[string]speedLoad{"signers": signers(), "desk": desk()} {
		l.run(t, false).log(t, name+" old")
		l.run(t, true).log(t, name+" new")
	}
}
