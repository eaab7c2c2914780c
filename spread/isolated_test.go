package spread

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// configApply is the time from the acknowledgment of a version until it must be in force on each
	// daemon that reaches the log.
	configApply = 2 * time.Second
	// deployedOwnReadAfter is spread.own_read_after in deploy/daemon.jsonc.
	deployedOwnReadAfter = 1400 * time.Millisecond
)

// A daemon that was cut off from all others but not from the log served its old version for up to
// 7.5 s.
func TestCutOffDaemonReadsLogInTime(t *testing.T) {
	for published := time.Duration(0); published < 4*time.Second; published += 70 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 8, 1, func(o *Options) { o.OwnReadAfter = deployedOwnReadAfter })
			f.run()
			f.probe()
			readers := f.readers("zone-0")
			for _, n := range f.nodes {
				if n != readers[0] && n != readers[1] {
					n.dead.Store(true) // No message of others arrives; the spreader itself runs on.
				}
			}
			time.Sleep(published)
			offset := f.append(contractChange("a", 0))
			time.Sleep(configApply)
			for _, n := range f.nodes {
				must.Eq(t, offset, n.inForce.Load(), must.Sprint(n.member.Host, " published ", published, " after the cut"))
			}
		})
	}
}
