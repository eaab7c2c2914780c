package daemon

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/rollout"
)

// versionServer is a backend server of a version that counts the requests it runs.
type versionServer struct {
	*server
	version string
	runs    atomic.Int64
}

func newVersionServer(t *testing.T, id, version string, status int) *versionServer {
	v := &versionServer{server: &server{id: id}, version: version}
	v.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v.runs.Add(1)
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		w.Header().Set(names.Signature, "signed")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "from "+id)
	}))
	t.Cleanup(v.Close)
	return v
}

// announceVersion announces a server and its version to a daemon.
func (f *storeFleet) announceVersion(d *testDaemon, v *versionServer) {
	f.t.Helper()
	must.Eq(f.t, http.StatusOK, f.announceAs(d, v.server, v.version, "ready", 1))
}

// newRolloutFleet returns six daemons with three servers of each version and starts a rollout to
// the new one, whose servers answer with status.
func newRolloutFleet(t *testing.T, status int) (f *storeFleet, old, newServers []*versionServer) {
	f = newStoreFleet(t, 6)
	f.putDocument(3)
	for i := range 3 {
		old = append(old, newVersionServer(t, fmt.Sprint("old-", i), "v1", http.StatusOK))
		f.announceVersion(f.daemons[i], old[i])
	}
	f.eventually("the servers are known", func() bool {
		b := f.daemons[0].board.Backends.Load()
		return b != nil && len(b.ForService("signs")) == 3
	})
	f.store.PutRollout("signs", "v2", 8)
	for i := range 3 {
		newServers = append(newServers, newVersionServer(t, fmt.Sprint("new-", i), "v2", status))
		f.announceVersion(f.daemons[3+i], newServers[i])
	}
	return f, old, newServers
}

// callUntil sends calls through all daemons in turn until the rollout status in the store contains
// the outcome. It returns the number of calls.
func (f *storeFleet) callUntil(outcome string) (calls int) {
	f.t.Helper()
	last := make(map[string][]rollout.Status)
	f.t.Cleanup(func() {
		if f.t.Failed() {
			f.t.Logf("status in the store: %s; last states at the daemons that decided: %+v", f.store.RolloutStatus("signs"), last)
		}
	})
	f.eventually("the rollout status is "+outcome, func() bool {
		for _, d := range f.daemons {
			if list := d.rollouts.Status(); len(list) > 0 {
				last[d.settings.Host] = list
			}
		}
		f.call(f.daemons[calls%len(f.daemons)], http.MethodGet, "/get/x", "")
		calls++
		return strings.Contains(f.store.RolloutStatus("signs"), outcome)
	})
	return calls
}

// totalRuns returns the number of requests that all servers have run.
func totalRuns(servers []*versionServer) int64 {
	var n int64
	for _, v := range servers {
		n += v.runs.Load()
	}
	return n
}

// newGatesClosed reports whether no call reaches the new servers.
func (f *storeFleet) newGatesClosed() bool {
	for _, d := range f.daemons[3:] {
		if withheld := d.board.Withheld.Load(); withheld == nil || !*withheld || d.rolloutGate.Check() == nil {
			return false
		}
	}
	return true
}

// Guards against a version that fails its calls and continues to receive them.
func TestStore_FailingVersionIsRolledBack(t *testing.T) {
	f, old, newServers := newRolloutFleet(t, http.StatusInternalServerError)
	calls := f.callUntil("rolled_back")
	f.eventually("the new servers' gates are closed", f.newGatesClosed)
	exposed := totalRuns(newServers)
	must.LessEq(t, float64(calls)/10+50, float64(exposed))
	must.Greater(t, 0, totalRuns(old))
	for i := range 30 {
		resp, _ := f.call(f.daemons[i%6], http.MethodGet, "/get/x", "")
		must.Eq(t, http.StatusOK, resp.StatusCode)
	}
	must.Eq(t, exposed, totalRuns(newServers))
}

// Guards against a good version that does not receive all calls in time, and against calls to the
// old version after the operator was informed that it may be stopped.
func TestStore_GoodVersionSucceeds(t *testing.T) {
	f, old, newServers := newRolloutFleet(t, http.StatusOK)
	start := time.Now()
	f.callUntil("succeeded")
	t.Logf("status reported after %v", time.Since(start))
	before := totalRuns(old)
	for i := range 30 {
		resp, _ := f.call(f.daemons[i%6], http.MethodGet, "/get/x", "")
		must.Eq(t, http.StatusOK, resp.StatusCode)
	}
	must.Eq(t, before, totalRuns(old))
	must.Greater(t, 0, totalRuns(newServers))
	must.Eq(t, `{"state":"succeeded","to_version":"v2"}`, f.store.RolloutStatus("signs"))
}

// staysRolledBack checks that a daemon which starts after the loss of all others sends no calls to
// a server of the version that was rolled back.
func (f *storeFleet) staysRolledBack() {
	f.t.Helper()
	f.stopAll()
	d := f.start()
	lateServer := newVersionServer(f.t, "new", "v2", http.StatusOK)
	f.announceVersion(d, lateServer)
	f.eventually("the outcome of the rollout is known", func() bool {
		withheld := d.board.Withheld.Load()
		return withheld != nil && *withheld
	})
	for range 10 {
		resp, _ := f.call(d, http.MethodGet, "/get/x", "")
		must.Eq(f.t, http.StatusServiceUnavailable, resp.StatusCode)
	}
	must.Eq(f.t, 0, lateServer.runs.Load())
}

// Guards against a rollout that was rolled back and starts again after the loss of all daemons.
func TestStore_RollbackSurvivesLossOfAllDaemons(t *testing.T) {
	f, _, _ := newRolloutFleet(t, http.StatusInternalServerError)
	f.callUntil("rolled_back")
	f.staysRolledBack()
}

// Guards against a rollout that was rolled back and starts again, or is reported as in progress,
// after the store has lost its latest records.
func TestStore_RollbackSurvivesRestore(t *testing.T) {
	f, _, _ := newRolloutFleet(t, http.StatusInternalServerError)
	f.eventually("the rollout is in progress", func() bool { return strings.Contains(f.store.RolloutStatus("signs"), "running") })
	older := f.store.Backup()
	f.callUntil("rolled_back")
	f.eventually("the new servers' gates are closed", f.newGatesClosed)
	f.store.Restore(older)
	f.store.PutRollout("signs", "v2", 8)
	f.eventually("the rollout status is reported again", func() bool {
		must.True(t, f.newGatesClosed())
		return strings.Contains(f.store.RolloutStatus("signs"), "rolled_back")
	})
	must.True(t, f.newGatesClosed())
	f.staysRolledBack()
	must.StrContains(t, f.store.RolloutStatus("signs"), "rolled_back")
}
