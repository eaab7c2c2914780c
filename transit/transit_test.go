package transit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	ms     = int64(time.Millisecond / time.Microsecond)
	second = 1000 * ms
	// clockSkew is how far the sender's clock is ahead of the receiver's.
	clockSkew = 3600 * second
)

// A queue builds up on a link and drains again. The delay is the excess over the lowest latency,
// regardless of the offset between the clocks.
func TestDelay_EqualsQueueingTime(t *testing.T) {
	e, s := New(), Sender{"host-1", 7}
	for i, c := range []struct{ latency, want int64 }{
		{3 * ms, 0}, {2 * ms, 0}, {2 * ms, 0}, {1002 * ms, 1000 * ms}, {52 * ms, 50 * ms}, {2 * ms, 0},
	} {
		sent := int64(i+1) * second
		must.Eq(t, time.Duration(c.want)*time.Microsecond, e.Delay(s, sent+clockSkew, sent+c.latency))
	}
}

// Guards against a restarted sender, possibly on another machine, appearing to be hours late
// because its new clock is compared with the old one.
func TestDelay_RestartedSenderHasNewClock(t *testing.T) {
	e := New()
	must.Eq(t, 0, e.Delay(Sender{"host-1", 7}, second+clockSkew, second))
	must.Eq(t, 0, e.Delay(Sender{"host-1", 8}, second-clockSkew, second))
	must.Eq(t, 5*time.Millisecond, e.Delay(Sender{"host-1", 7}, second+clockSkew, second+5*ms))
}

// The path latency increases permanently and becomes the new baseline once the old windows have
// expired.
func TestDelay_AdaptsToLongerPath(t *testing.T) {
	e, s := New(), Sender{"host-1", 7}
	at := int64(baselineWindow / time.Microsecond)
	e.Delay(s, at, at+2*ms)
	must.Eq(t, 98*time.Millisecond, e.Delay(s, at+second, at+second+100*ms))
	for range 3 {
		at += int64(baselineWindow/time.Microsecond) + second
		e.Delay(s, at, at+100*ms)
	}
	must.Eq(t, 0, e.Delay(s, at, at+100*ms))
	must.MapLen(t, 1, e.previous)
}

// Messages from senders that set no timestamp count as not delayed.
func TestDelay_ZeroWithoutTimestamp(t *testing.T) {
	must.Eq(t, 0, New().Delay(Sender{}, 0, BootTimeMicros()))
	must.Positive(t, BootTimeMicros())
}

// Delay runs for every call from another daemon, so it must not allocate.
func TestDelay_DoesNotAllocate(t *testing.T) {
	e, s := New(), Sender{"host-1", 7}
	at := second
	must.Zero(t, testing.AllocsPerRun(1000, func() {
		at += ms
		e.Delay(s, at, at+ms)
	}))
}
