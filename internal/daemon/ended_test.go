package daemon

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// lateAnnouncementWatch is how long calls are sent after the late announcement. Other daemons learn of a
// server within a second.
const lateAnnouncementWatch = 3 * time.Second

// Guards against calls to a server that has announced its end, which its daemon acknowledged: the daemon
// restarts, and an announcement that the server had sent before arrives late.
func TestStore_EndedServerStaysGoneAfterRestartOfItsDaemon(t *testing.T) {
	f := newStoreFleet(t, 2)
	f.putDocument(3)
	s := newServer(t, "i-1")
	f.announce(f.daemons[1], s, "ready", 5)
	f.waitServed(f.daemons[0], s)
	must.Eq(t, http.StatusOK, f.backendCall(f.daemons[1], http.MethodDelete, "/v1/backend-servers/i-1", ""))
	d := f.restart(f.daemons[1])
	f.waitServerless(f.daemons[0])
	count := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.received)
	}
	before := count()
	must.Eq(t, http.StatusOK, f.announce(d, s, "ready", 4))
	for begin := time.Now(); time.Since(begin) < lateAnnouncementWatch; time.Sleep(50 * time.Millisecond) {
		f.tryCall(f.daemons[0])
		must.Eq(t, before, count(), must.Sprint("calls to a server that has ended"))
	}
}
