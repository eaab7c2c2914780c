package main

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"
)

// fault is one thing that goes wrong and is mended again.
type fault struct {
	// hold is how long it lasts, from the end of begin.
	hold time.Duration
	// begin and end may be nil.
	begin, end func(context.Context) error
}

// entry is one row of the list: what it is called and how it is made for a
// deployment.
type entry struct {
	name string
	make func(*deployment, *rand.Rand) fault
	// short is whether the fault belongs to the subset that CI runs.
	short bool
	// pairable is whether it may come together with another.
	pairable bool
}

// list holds all faults in the order in which they run.
var list = []entry{
	{"calm", calm, false, false},
	{"zone's daemons killed", killZone, true, true},
	{"zone's hosts die", killHosts, false, true},
	{"reconnect storm", reconnectStorm, false, true},
	{"paused: reader of the log", pauseReader, false, false},
	{"paused: gate", pauseGate, false, true},
	{"paused: quota owner", pauseQuotaOwner, false, false},
	{"paused: key holder", pauseKeyHolder, true, false},
	{"paused: plain daemon", pausePlain, false, false},
	{"platform down", platformDown, false, true},
	{"platform slow", platformSlow, false, true},
	{"answers of appends lost", answersLost, true, false},
	{"operators race", operatorsRace, true, true},
	{"connections go silent", connectionsSilent, true, true},
	{"one-way cut: cannot send", cutSend, false, true},
	{"one-way cut: cannot hear", cutHear, false, true},
	{"zone cut off", cutZone, false, true},
	{"backend server leaves", backendLeaves, false, false},
	{"route moves", routeMoves, false, false},
	{"zone stopped as planned", stopZone, true, false},
}

// pairSeparator stands between the names of a pair.
const pairSeparator = " + "

// betweenPair is how long after the first fault of a pair the second begins.
const betweenPair = 1500 * time.Millisecond

// drawPairs draws pairs of different faults.
func drawPairs(rng *rand.Rand, n int) []string {
	var names []string
	for _, e := range list {
		if e.pairable {
			names = append(names, e.name)
		}
	}
	pairs := make([]string, 0, n)
	for range n {
		i := rng.IntN(len(names))
		j := (i + 1 + rng.IntN(len(names)-1)) % len(names)
		pairs = append(pairs, names[i]+pairSeparator+names[j])
	}
	return pairs
}

// find returns the entries of a name, which may be a pair; nil if it is neither.
func find(name string) []entry {
	var found []entry
	for _, part := range strings.Split(name, pairSeparator) {
		for _, e := range list {
			if e.name == part {
				found = append(found, e)
			}
		}
	}
	if len(found) != 1+strings.Count(name, pairSeparator) {
		return nil
	}
	return found
}

// together makes one fault of two: the second begins a little later, and both
// are mended in the order in which they began.
func together(a, b fault) fault {
	return fault{
		hold: max(a.hold, b.hold),
		begin: func(ctx context.Context) error {
			if err := a.start(ctx); err != nil {
				return err
			}
			if err := sleep(ctx, betweenPair); err != nil {
				return err
			}
			return b.start(ctx)
		},
		end: func(ctx context.Context) error {
			if err := a.stop(ctx); err != nil {
				return err
			}
			return b.stop(ctx)
		},
	}
}

func (f fault) start(ctx context.Context) error {
	if f.begin == nil {
		return nil
	}
	return f.begin(ctx)
}

func (f fault) stop(ctx context.Context) error {
	if f.end == nil {
		return nil
	}
	return f.end(ctx)
}

// rngOf returns the source of a fault's choices. It depends on the seed and the
// name alone, so that a fault does the same by itself as in the whole run.
func rngOf(seed uint64, name string) *rand.Rand {
	h := uint64(14695981039346656037)
	for _, b := range []byte(name) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return rand.New(rand.NewPCG(seed, h))
}
