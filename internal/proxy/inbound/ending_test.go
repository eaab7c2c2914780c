package inbound

import (
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/quarantine"
)

// A server ends under five calls, two of them the same request. Their connections break at
// one moment; what it ended under is asked once, and is all that ran, not what broke first.
func TestRuns_OneEndingForAllCalls(t *testing.T) {
	var r runs
	calls := make([]*call, 5)
	for i := range calls {
		calls[i] = &call{identity: quarantine.Identity{byte(1 + i/2)}}
		r.begin(calls[i])
	}
	var asked, firsts int
	var mu sync.Mutex
	var all sync.WaitGroup
	gone := func() bool {
		asked++
		return true
	}
	for _, c := range calls {
		all.Go(func() {
			e, first := r.brokeOff(gone)
			r.end(c)
			mu.Lock()
			defer mu.Unlock()
			if first {
				firsts++
				must.Len(t, 3, e.identities())
			}
			must.True(t, e.gone)
			must.Len(t, 5, e.under)
		})
	}
	all.Wait()
	must.Eq(t, 1, asked)
	must.Eq(t, 1, firsts)
}
