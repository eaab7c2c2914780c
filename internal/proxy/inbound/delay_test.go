package inbound

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/peerpb"
	"github.com/crocuscross/crocuscross/transit"
)

// A call with 300 ms left is held up for a second on a link with a queue. Its caller has
// gone, and the word of that is still in the queue: unless the second counts, the call
// runs for nobody.
func TestTimeOnTheWayCounts(t *testing.T) {
	h := &Handler{transits: transit.New()}
	head := func(heldUp time.Duration) *peerpb.CallHead {
		return &peerpb.CallHead{
			RemainingMs: 300, SenderHost: "host-1", SenderBoot: 7,
			SentAtUs: transit.BootTimeMicros() - heldUp.Microseconds(),
		}
	}
	must.Eq(t, 0, h.delay(head(0)))
	must.GreaterEq(t, 300*time.Millisecond, h.delay(head(time.Second)))
	must.Eq(t, 0, h.delay(&peerpb.CallHead{RemainingMs: 300}), must.Sprint("an older program does not say"))
}
