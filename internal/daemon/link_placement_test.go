package daemon

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/internal/answer"
	"github.com/crocuscross/crocuscross/internal/settings"
)

// newLinkFleet returns a fleet of two daemons with links of 5 Mbit/s and a backend server on the host of
// the second. placement is load.link_placement of the two.
func newLinkFleet(t *testing.T, placement [2]string) (*storeFleet, *server) {
	t.Helper()
	f := newStoreFleet(t, 0)
	change := f.adjustSettings
	for _, p := range placement {
		f.adjustSettings = func(s *settings.Settings) {
			change(s)
			s.LinkMbps, s.Load.LinkPlacement = 5, p
		}
		f.start()
	}
	f.putDocument(3)
	s := newServer(t, "i-1")
	f.announce(f.daemons[1], s, "ready", 1)
	f.waitServed(f.daemons[0], s)
	return f, s
}

// Bodies must reach the backend server unchanged with the setting on at both daemons or, as during a
// rolling upgrade, at one of them, from another host and from the server's own host, with several parts
// in transit. Nothing may stay pending on the link.
func TestLinkPlacement_BodiesArriveUnchanged(t *testing.T) {
	for _, placement := range [][2]string{{settings.On, settings.On}, {settings.On, settings.Off}, {settings.Off, settings.On}} {
		f, s := newLinkFleet(t, placement)
		for _, d := range f.daemons {
			for _, n := range []int{17 << 10, 100_000, 300_001} {
				payload := strings.Repeat("x", n-1) + "y"
				_, body := f.call(d, http.MethodPost, "/put/x", payload)
				must.Eq(t, "from i-1", body, must.Sprint(placement))
				_, got := s.lastRequest()
				must.True(t, payload == got, must.Sprint(placement))
			}
		}
		f.eventually("no call holds a slot or room", func() bool { return f.daemons[1].inbound.InFlight() == 0 })
		must.Eq(t, 0, f.daemons[1].inbound.Load().LinkWait)
	}
}

// Many uploads at once, on a link that could not carry them within their objective. Guards against
// uploads that are lost between the placement and the window: each ends with an answer or a rejection
// that states that the call has not run, and nothing stays pending.
func TestLinkPlacement_ManyUploads(t *testing.T) {
	f, _ := newLinkFleet(t, [2]string{settings.On, settings.On})
	type result struct {
		status    int
		run, body string
	}
	results := make([]result, 40)
	var uploads sync.WaitGroup
	for i := range results {
		uploads.Go(func() {
			resp, body := f.call(f.daemons[0], http.MethodPost, "/put/x", strings.Repeat("x", 100_000))
			results[i] = result{resp.StatusCode, resp.Header.Get(answer.HeaderRun), body}
		})
	}
	uploads.Wait()
	answered := 0
	for _, r := range results {
		if r.status == http.StatusOK {
			answered++
			must.Eq(t, "from i-1", r.body)
			continue
		}
		must.Eq(t, http.StatusServiceUnavailable, r.status, must.Sprint(r.body))
		must.Eq(t, "no", r.run)
	}
	must.Positive(t, answered)
	t.Logf("%d of %d answered", answered, len(results))
	f.eventually("no call holds a slot or room", func() bool { return f.daemons[1].inbound.InFlight() == 0 })
	must.Eq(t, 0, f.daemons[1].inbound.Load().LinkWait)
}

// A host is stopped while an upload of one of its callers is in transit in several parts. The caller must
// learn that the upload has not run.
func TestLinkPlacement_UploadLeftAtTheEndOfADrain(t *testing.T) {
	f, s, links := newFleetOnSlowLink(t, func(s *settings.Settings) {
		s.Drain.Timeout = settings.Duration(1200 * time.Millisecond)
		s.LinkMbps, s.Load.LinkPlacement = 5, settings.On
	})
	type result struct{ status, run string }
	done := make(chan result)
	go func() {
		resp, _ := f.call(f.daemons[0], http.MethodPost, "/put/x", strings.Repeat("x", 100<<10))
		done <- result{resp.Status, resp.Header.Get(answer.HeaderRun)}
	}()
	f.eventually("the body is in transit", func() bool { return f.daemons[1].inbound.InFlight() == 1 })
	before, _ := s.lastRequest()
	f.daemons[0].stop()
	must.Eq(t, result{"503 Service Unavailable", "no"}, <-done)
	last, _ := s.lastRequest()
	must.True(t, before == last, must.Sprint("the upload has not run"))
	(<-links).open()
}
