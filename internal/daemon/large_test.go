package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// manyRoutes is the number of routes of a document that exceeds the size limit of one append, 256
// kB: its record has 264,017 bytes.
const manyRoutes = 4400

// largeDocument writes a document with many routes to the service signs and returns its offset.
func (f *storeFleet) largeDocument(version, routes int) (offset uint64) {
	f.t.Helper()
	list := make([]string, routes)
	for i := range list {
		list[i] = fmt.Sprintf(`{"name":"route-%06d","virtual_host":"h.example","path_prefix":"/path%06d/","kind":"CALL_KIND_IDEMPOTENT",`+
			`"timeout_ms":5000,"latency_objective_ms":600,"priority":2,"service":"signs","max_attempts":2}`, i, i)
	}
	// The store numbers its records from 0, the daemons from 1.
	return 1 + f.store.PutConfig(fmt.Sprintf(`{"version":%d,"services":[{"name":"signs"}],"routes":[%s]}`, version, strings.Join(list, ",")))
}

// waitInForce waits until a daemon has an offset in force.
func (f *storeFleet) waitInForce(d *testDaemon, offset uint64) {
	f.t.Helper()
	f.eventually("the offset is in force", func() bool {
		snap := d.board.Snapshot.Load()
		return snap != nil && snap.Offset >= offset
	})
}

// Guards against a configuration record that is larger than the size limit of appends and never
// comes into force. The limit applies to records that daemons append, not to documents that the
// operator writes. A fold that applied it to both rejected the record as unreadable ("it has 276807
// bytes, at most 262144 are taken"), while 3,000 routes came into force: each daemon counted the
// offset as in force but kept the previous document, and callers of the new routes got 404
// indefinitely.
func TestStore_LargeDocumentComesIntoForce(t *testing.T) {
	f := newStoreFleet(t, 2)
	f.putDocument(3)
	s := newServer(t, "i-1")
	must.Eq(t, http.StatusOK, f.announce(f.daemons[0], s, "ready", 1))
	f.waitServed(f.daemons[1], s)
	offset := f.largeDocument(5, manyRoutes)
	for _, d := range f.daemons {
		f.waitInForce(d, offset)
		resp, body := f.call(d, http.MethodGet, fmt.Sprintf("/path%06d/x", manyRoutes-1), "")
		must.Eq(t, http.StatusOK, resp.StatusCode, must.Sprint(body))
	}
}

// All hosts lose power after such a document was written, and no daemon has it in force. Guards
// against a first daemon that finds only the store's newest document, cannot use it, treats the
// store as unavailable and serves nothing.
func TestStore_StartsFromALargeDocument(t *testing.T) {
	f := newStoreFleet(t, 0)
	offset := f.largeDocument(5, manyRoutes)
	d := f.start()
	f.waitInForce(d, offset)
	resp, body := f.call(d, http.MethodGet, "/path000000/x", "")
	must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode, must.Sprint("the route is there and has no server yet: ", body))
}

// The largest accepted document has 13.2 MB as the operator's JSON and 17.6 MB as the store sends
// it. A daemon without peers must wait for as long as half of the slowest link needs for it, 57 s.
// With peers, callers wait no longer than for a log that is unavailable.
func TestStore_RecoveryTimeoutsAllowLargestDocument(t *testing.T) {
	const needed = 57 * time.Second
	f := newStoreFleet(t, 0)
	o := f.build().recoveryOptions()
	must.Greater(t, needed, o.LogTimeout)
	must.Greater(t, needed, o.FetchTimeout)
	must.LessEq(t, 2*time.Second, o.LogTimeoutWithPeers)
}
