package outbound

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/admission"
	"github.com/crocuscross/crocuscross/peerpb"
	"github.com/crocuscross/crocuscross/snapshot"
)

// uploadCall returns a call with a large body, an objective of 1,200 ms and a timeout of 3 s, whose caller
// sent it first the given time ago.
func uploadCall(firstSent time.Duration) *call {
	now := time.Now()
	c := &call{h: &Handler{}, route: &snapshot.DocumentRoute{}, deadline: now.Add(3 * time.Second), head: &peerpb.CallHead{ContentLength: 60_000}}
	c.h.opts.KilobyteCost = func() time.Duration { return 0 }
	c.admissionRequest = admission.Request{
		Objective: 1200 * time.Millisecond, FirstSent: now.Add(-firstSent), Arrived: now, Deadline: c.deadline,
	}
	return c
}

// An upload must be placed by what is left of its objective. One that can only be late may use its
// deadline, but must not queue so long that uploads after it are late too.
func TestCall_TimeLeftForLargeBodies(t *testing.T) {
	fresh := uploadCall(0)
	must.Between(t, 1100*time.Millisecond, fresh.timeLeft(), 1200*time.Millisecond)
	must.Eq(t, 0, fresh.maxLateRetryWait())

	late := uploadCall(2 * time.Second)
	must.Between(t, 2900*time.Millisecond, late.timeLeft(), 3*time.Second)
	must.Between(t, 700*time.Millisecond, late.maxLateRetryWait(), 750*time.Millisecond)

	underContract := uploadCall(0)
	underContract.route = nil
	must.Between(t, 2900*time.Millisecond, underContract.timeLeft(), 3*time.Second)
	must.Eq(t, 0, underContract.maxLateRetryWait())
}

// The gate must apply the wait by which the call was placed. Without one, the wait is that of other calls.
func TestCall_MaxQueueTimeOfLargeBodies(t *testing.T) {
	c := uploadCall(0)
	must.Eq(t, 150*time.Millisecond, c.maxQueueTime())
	c.linkMaxWait = 578 * time.Millisecond
	must.Eq(t, 578*time.Millisecond, c.maxQueueTime())
}
