package transit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	ms     = int64(time.Millisecond / time.Microsecond)
	second = 1000 * ms
	// apart is by how much the sender's clock is ahead.
	apart = 3600 * second
)

// A link gets a queue and loses it again. Messages lose on the way what is above the
// least that was seen, however far the clocks are apart.
func TestDelayIsWhatTheQueueTakes(t *testing.T) {
	e, s := New(), Sender{"host-1", 7}
	for i, c := range []struct{ way, want int64 }{
		{3 * ms, 0}, {2 * ms, 0}, {2 * ms, 0}, {1002 * ms, 1000 * ms}, {52 * ms, 50 * ms}, {2 * ms, 0},
	} {
		sent := int64(i+1) * second
		must.Eq(t, time.Duration(c.want)*time.Microsecond, e.Delay(s, sent+apart, sent+c.way))
	}
}

// A process restarts, perhaps on another machine: its clock has nothing to do with the
// one before. Its calls must not look hours late.
func TestAnotherLifeHasAnotherClock(t *testing.T) {
	e := New()
	must.Eq(t, 0, e.Delay(Sender{"host-1", 7}, second+apart, second))
	must.Eq(t, 0, e.Delay(Sender{"host-1", 8}, second-apart, second))
	must.Eq(t, 5*time.Millisecond, e.Delay(Sender{"host-1", 7}, second+apart, second+5*ms))
}

// The way has become longer for good. After a while that is the usual distance.
func TestLongerWayIsForgotten(t *testing.T) {
	e, s := New(), Sender{"host-1", 7}
	at := int64(memory / time.Microsecond)
	e.Delay(s, at, at+2*ms)
	must.Eq(t, 98*time.Millisecond, e.Delay(s, at+second, at+second+100*ms))
	for range 3 {
		at += int64(memory/time.Microsecond) + second
		e.Delay(s, at, at+100*ms)
	}
	must.Eq(t, 0, e.Delay(s, at, at+100*ms))
	must.MapLen(t, 1, e.older)
}

// Messages of programs without stamps count as not held up.
func TestWithoutStamp(t *testing.T) {
	must.Eq(t, 0, New().Delay(Sender{}, 0, BootTimeMicros()))
	must.Positive(t, BootTimeMicros())
}

// Each call of another daemon asks for its delay.
func TestDelayAllocatesNothing(t *testing.T) {
	e, s := New(), Sender{"host-1", 7}
	at := second
	must.Zero(t, testing.AllocsPerRun(1000, func() {
		at += ms
		e.Delay(s, at, at+ms)
	}))
}
