package inbound

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/peerpb"
	"github.com/crocuscross/crocuscross/transit"
)

// A call with 300 ms left is delayed for a second on a congested link. Its caller has
// disconnected, but the cancellation is still queued on the link. Unless the delay counts
// against the remaining time, the call runs although no one receives the response.
func TestTransitDelay(t *testing.T) {
	h := &Handler{transits: transit.New()}
	head := func(delay time.Duration) *peerpb.CallHead {
		return &peerpb.CallHead{
			RemainingMs: 300, SenderHost: "host-1", SenderBoot: 7,
			SentAtUs: transit.BootTimeMicros() - delay.Microseconds(),
		}
	}
	must.Eq(t, 0, h.transitDelay(head(0)))
	must.GreaterEq(t, 300*time.Millisecond, h.transitDelay(head(time.Second)))
	must.Eq(t, 0, h.transitDelay(&peerpb.CallHead{RemainingMs: 300}), must.Sprint("an older daemon sends no timestamp"))
}
