package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Callers begin with 1.2 s. One that comes back with 900 ms began 300 ms ago.
func TestElapsedOfACallerThatComesBack(t *testing.T) {
	var u InitialTimeouts
	for range usualSamples {
		must.Eq(t, 0, u.Elapsed("r", 1200*time.Millisecond))
	}
	must.Eq(t, 300*time.Millisecond, u.Elapsed("r", 900*time.Millisecond))
	must.Eq(t, 0, u.Elapsed("r", 1190*time.Millisecond))
	must.Eq(t, 0, u.Elapsed("other", 900*time.Millisecond))
}

// Calls that backend servers make come with what is left of a longer call: nothing
// tells when they began.
func TestElapsedOfNestedCallsIsNotKnown(t *testing.T) {
	var u InitialTimeouts
	for i := range 3 * usualMemory {
		must.Eq(t, 0, u.Elapsed("r", time.Duration(1200-i%37*30)*time.Millisecond))
	}
}

// A route's callers begin with less time than before, since the operator's timeout has
// changed. After a while that is the usual.
func TestElapsedAfterALongerTimeWasSeen(t *testing.T) {
	var u InitialTimeouts
	for range usualSamples {
		u.Elapsed("r", time.Second)
	}
	for range 10 * usualSamples {
		u.Elapsed("r", 500*time.Millisecond)
	}
	must.Eq(t, 0, u.Elapsed("r", 500*time.Millisecond))
}
