package membership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a process that does not know which backend servers ended beside the one that it replaces,
// also if it is replaced in turn.
func TestEndedBefore_OfReplacedProcesses(t *testing.T) {
	const n, host = 8, 3
	f := newJoinedFleet(t, n)
	f.runFor(time.Second, nil)
	ended := []EndedServer{{ID: 1, StartUnixMs: 10}, {ID: 2, StartUnixMs: 20}}
	f.nodes[host].SetEndedServers(ended)
	f.runFor(100*time.Millisecond, nil)
	second := f.start(host, host, 1000)
	must.Eq(t, 1, second.join(5))
	must.Eq(t, ended, second.EndedBefore())
	second.SetEndedServers(second.EndedBefore())
	f.runFor(time.Second, nil)
	third := f.start(host, host, 1001)
	must.Eq(t, 1, third.join(6))
	must.Eq(t, ended, third.EndedBefore())
	must.SliceEmpty(t, f.nodes[host+1].EndedBefore())
}

// Guards against a record that grows with each backend server that ends.
func TestSetEndedServers_KeepsTheLastFew(t *testing.T) {
	f := newJoinedFleet(t, 2)
	var ended []EndedServer
	for i := range uint64(100) {
		ended = append(ended, EndedServer{ID: i})
	}
	f.nodes[0].SetEndedServers(ended)
	f.runFor(time.Second, nil)
	must.Eq(t, ended[len(ended)-maxEndedServers:], f.nodes[1].table.get(f.nodes[0].self.host).info.ended)
}
