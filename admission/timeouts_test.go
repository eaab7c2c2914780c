package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Callers send first attempts with 1.2 s. A retry with 900 ms remaining is 300 ms after its first
// attempt.
func TestInitialTimeouts_Retry(t *testing.T) {
	var u InitialTimeouts
	for range minTimeoutCalls {
		must.Eq(t, 0, u.Elapsed("r", 1200*time.Millisecond))
	}
	must.Eq(t, 300*time.Millisecond, u.Elapsed("r", 900*time.Millisecond))
	must.Eq(t, 0, u.Elapsed("r", 1190*time.Millisecond))
	must.Eq(t, 0, u.Elapsed("other", 900*time.Millisecond))
}

// Nested calls arrive with varying remaining times, from which no initial timeout is derived.
func TestInitialTimeouts_NestedCalls(t *testing.T) {
	var u InitialTimeouts
	for i := range 3 * timeoutWindow {
		must.Eq(t, 0, u.Elapsed("r", time.Duration(1200-i%37*30)*time.Millisecond))
	}
}

// After an operator lowers a route's timeout, callers send first attempts with less time. Guards
// against taking these for retries indefinitely.
func TestInitialTimeouts_ShorterTimeout(t *testing.T) {
	var u InitialTimeouts
	for range minTimeoutCalls {
		u.Elapsed("r", time.Second)
	}
	for range 10 * minTimeoutCalls {
		u.Elapsed("r", 500*time.Millisecond)
	}
	must.Eq(t, 0, u.Elapsed("r", 500*time.Millisecond))
}
