package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// manyRoutes are more than one append of 256 kB can carry: the record of 4,400 routes
// below has 264,017 bytes.
const manyRoutes = 4400

// largeDocument puts a document of many routes in force; all lead to the service signs.
func (f *storeFleet) largeDocument(version, routes int) (offset uint64) {
	f.t.Helper()
	list := make([]string, routes)
	for i := range list {
		list[i] = fmt.Sprintf(`{"name":"route-%06d","virtual_host":"h.example","path_prefix":"/path%06d/","kind":"CALL_KIND_IDEMPOTENT",`+
			`"timeout_ms":5000,"latency_objective_ms":600,"priority":2,"service":"signs","max_attempts":2}`, i, i)
	}
	// The store numbers its records from 0, the product from 1.
	return 1 + f.store.PutConfig(fmt.Sprintf(`{"version":%d,"services":[{"name":"signs"}],"routes":[%s]}`, version, strings.Join(list, ",")))
}

// moved waits until a daemon has an offset in force.
func (f *storeFleet) moved(d *testDaemon, offset uint64) {
	f.t.Helper()
	f.eventually("the offset is in force", func() bool {
		snap := d.board.Snapshot.Load()
		return snap != nil && snap.Offset >= offset
	})
}

// An operator adds routes until the configuration's record is larger than what one
// append may carry. Each daemon read it, counted its offset as in force and kept the
// document before; callers of the new routes got 404 from all of them, for good. The
// fold held the bound on what daemons append against what the operator writes, and
// took the record for an unreadable one: "it has 276807 bytes, at most 262144 are
// taken", while 3,000 routes came into force.
func TestStore_LargeDocumentComesIntoForce(t *testing.T) {
	f := newStoreFleet(t, 2)
	f.document(3)
	s := newServer(t, "i-1")
	must.Eq(t, http.StatusOK, f.announce(f.daemons[0], s, "ready", 1))
	f.serves(f.daemons[1], s)
	offset := f.largeDocument(5, manyRoutes)
	for _, d := range f.daemons {
		f.moved(d, offset)
		resp, body := f.call(d, http.MethodGet, fmt.Sprintf("/path%06d/x", manyRoutes-1), "")
		must.Eq(t, http.StatusOK, resp.StatusCode, must.Sprint(body))
	}
}

// All hosts lose power after such a configuration, and nobody is left who has it. The
// daemon that starts first finds nothing but the store's newest document, could not use
// it, took the store for down and served nothing, for as long as that document stood.
func TestStore_StartsFromALargeDocument(t *testing.T) {
	f := newStoreFleet(t, 0)
	offset := f.largeDocument(5, manyRoutes)
	d := f.start()
	f.moved(d, offset)
	resp, body := f.call(d, http.MethodGet, "/path000000/x", "")
	must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode, must.Sprint("the route is there and has no server yet: ", body))
}

// The largest document that is taken has 13.2 MB as the operator's JSON and 17.6 MB as the
// store sends it. A daemon alone with it must wait for as long as half of the narrowest
// link takes, 57 s; beside others, callers wait no longer than for a log that is down.
func TestStore_RecoveryWaitsForTheLargestDocument(t *testing.T) {
	const needed = 57 * time.Second
	f := newStoreFleet(t, 0)
	o := f.build().recoveryOptions()
	must.Greater(t, needed, o.LogTimeout)
	must.Greater(t, needed, o.FetchTimeout)
	must.LessEq(t, 2*time.Second, o.LogTimeoutWithPeers)
}
