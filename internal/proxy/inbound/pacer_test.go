package inbound

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/errkind"
)

// A host with a link of 5 Mbit/s receives bodies in parts of 12.5 ms, two at a time, so that a
// small call waits for no more than two parts.
func TestPacer_LimitsPartsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPacer(5, false)
		must.Eq(t, 7812, p.partBytes)
		must.True(t, p.splits(60_000))
		must.False(t, p.splits(5_000))
		first, err := p.acquire(t.Context())
		must.NoError(t, err)
		second, err := p.acquire(t.Context())
		must.NoError(t, err)
		begun := time.Now()
		go func() {
			time.Sleep(time.Millisecond)
			first()
			first()
		}()
		third, err := p.acquire(t.Context())
		must.NoError(t, err)
		must.Eq(t, time.Millisecond, time.Since(begun))
		second()
		third()
	})
}

// The senders of two parts are stalled. Other calls must not wait until the deadlines of those
// calls: the place of a part is released automatically after its timeout.
func TestPacer_ReleasesStalledParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPacer(5, false)
		for range maxPartsInFlight {
			_, err := p.acquire(t.Context())
			must.NoError(t, err)
		}
		begun := time.Now()
		_, err := p.acquire(t.Context())
		must.NoError(t, err)
		must.Eq(t, partTimeoutFactor*partDuration, time.Since(begun))
	})
}

// A call whose body would wait too long for the link is rejected before the link has carried
// any of it, with the time after which to retry. If no bandwidth is configured, nothing is
// rejected.
func TestPacer_RejectsBeyondMaxWait(t *testing.T) {
	p := newPacer(5, false)
	p.pendingBytes.Add(125_000)
	must.Eq(t, 200*time.Millisecond, p.expectedWait())
	must.NoError(t, p.checkWait(0))
	must.NoError(t, p.checkWait(200*time.Millisecond))
	err := p.checkWait(100 * time.Millisecond)
	must.Eq(t, errkind.Overloaded, errkind.Of(err))
	must.Eq(t, 200*time.Millisecond, errkind.RetryAfterOf(err))
	unlimited := newPacer(0, false)
	unlimited.pendingBytes.Add(1 << 30)
	must.NoError(t, unlimited.checkWait(time.Millisecond))
	must.False(t, unlimited.splits(1<<20))
}
