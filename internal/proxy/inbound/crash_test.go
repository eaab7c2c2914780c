package inbound

import (
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/quarantine"
)

// A server exits while it runs five calls, some of them of the same request, and all their
// connections break at once. The exit is checked only once, and the calls in progress are all
// that were running, not only the first one that failed.
func TestRunningCalls_OneExitCheckForAllCalls(t *testing.T) {
	var r runningCalls
	calls := make([]*call, 5)
	for i := range calls {
		calls[i] = &call{identity: quarantine.Identity{byte(1 + i/2)}}
		r.add(calls[i])
	}
	var checks, firsts int
	var mu sync.Mutex
	var all sync.WaitGroup
	serverExited := func() bool {
		checks++
		return true
	}
	for _, c := range calls {
		all.Go(func() {
			e, first := r.checkExit(serverExited)
			r.remove(c)
			mu.Lock()
			defer mu.Unlock()
			if first {
				firsts++
				must.Len(t, 3, e.identities())
			}
			must.True(t, e.exited)
			must.Len(t, 5, e.inProgress)
		})
	}
	all.Wait()
	must.Eq(t, 1, checks)
	must.Eq(t, 1, firsts)
}
