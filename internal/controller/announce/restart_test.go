package announce

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/membership"
)

// predecessors are earlier processes of a daemon.
type predecessors struct {
	asked       bool
	endedBefore []membership.EndedServer
	distributed []membership.EndedServer
}

func (p *predecessors) Asked() bool                                { return p.asked }
func (p *predecessors) EndedBefore() []membership.EndedServer      { return p.endedBefore }
func (p *predecessors) SetEndedServers(l []membership.EndedServer) { p.distributed = l }

// restarted is a daemon that has just replaced an earlier process, beside a server with a health check.
type restarted struct {
	*fixture
	predecessors predecessors
	id           string
	healthError  error
}

func newRestarted(id string, healthError error) *restarted {
	r := &restarted{fixture: newFixture(), id: id, healthError: healthError}
	r.predecessors.asked = true
	r.Predecessors, r.StartedAt = &r.predecessors, r.now
	r.QueryServerID = func(context.Context) (string, error) { return r.id, r.healthError }
	return r
}

func (r *restarted) announce(t *testing.T, id, state string, sequence int) {
	t.Helper()
	body := fmt.Sprintf(`{"service":"desk","address":"127.0.0.1:9001","slots":6,"state":%q,"sequence":%d}`, state, sequence)
	must.Eq(t, http.StatusOK, r.sendServer(http.MethodPut, id, body))
}

var errLeaving = errors.New("health check answered with status 503")

// Guards against calls to a server that leaves: the process that acknowledged this was killed, and its
// successor gets an announcement that the server had sent before.
func TestServers_LateAnnouncementAfterRestart(t *testing.T) {
	r := newRestarted("", errLeaving)
	r.announce(t, "i-1", stateReady, 7)
	must.Eq(t, "", r.localServer().ID)
	for range 5 {
		r.now = r.now.Add(time.Second)
		r.reviewHeld(t.Context())
	}
	r.announce(t, "i-1", stateReady, 7)
	must.Eq(t, "", r.localServer().ID)
	r.announce(t, "i-1", stateDraining, 8)
	must.True(t, r.localServer().Draining)
}

// Guards against the same with several late announcements, after which no more arrives.
func TestServers_SeveralLateAnnouncementsAfterRestart(t *testing.T) {
	r := newRestarted("", errLeaving)
	for sequence := 5; sequence < 8; sequence++ {
		r.announce(t, "i-1", stateReady, sequence)
		r.now = r.now.Add(time.Second)
	}
	for range 20 {
		r.now = r.now.Add(time.Second)
		r.reviewHeld(t.Context())
		must.Eq(t, "", r.localServer().ID)
	}
	must.MapEmpty(t, r.held.all())
}

// Guards against a server that gets no calls because its health check fails while it keeps announcing that
// it is ready.
func TestServers_FailingHealthCheckAfterRestart(t *testing.T) {
	r := newRestarted("", errLeaving)
	start := r.now
	for sequence := 7; r.localServer().ID == ""; sequence++ {
		must.LessEq(t, holdTime+2*time.Second, r.now.Sub(start))
		r.announce(t, "i-1", stateReady, sequence)
		r.now = r.now.Add(1500 * time.Millisecond)
	}
	must.GreaterEq(t, holdTime, r.now.Sub(start))
	must.Eq(t, "i-1", r.localServer().ID)
}

// Guards against a healthy server that gets calls only seconds after its daemon has restarted, also one that
// was busy or whose document was not in force when it announced itself.
func TestServers_HealthyServerAfterRestart(t *testing.T) {
	r := newRestarted("i-1", nil)
	r.announce(t, "i-1", stateReady, 7)
	must.Eq(t, "i-1", r.localServer().ID)

	r = newRestarted("i-1", errors.New("timeout"))
	r.announce(t, "i-1", stateReady, 7)
	must.Eq(t, "", r.localServer().ID)
	r.healthError = nil
	r.reviewHeld(t.Context())
	must.Eq(t, "i-1", r.localServer().ID)
}

// Guards against a late announcement that replaces the server which has taken over the address.
func TestServers_LateAnnouncementOfEarlierServerAfterRestart(t *testing.T) {
	r := newRestarted("i-2", nil)
	r.announce(t, "i-2", stateReady, 1)
	must.Eq(t, "i-2", r.localServer().ID)
	for sequence := 40; sequence < 45; sequence++ {
		r.announce(t, "i-1", stateReady, sequence)
		r.announce(t, "i-1", stateDraining, sequence)
		r.now = r.now.Add(1500 * time.Millisecond)
	}
	must.Eq(t, "i-2", r.localServer().ID)
	must.False(t, r.localServer().Draining)
}

// Guards against a new server at the address that is kept out since an earlier one has ended.
func TestServers_NewServerAfterEndedOne(t *testing.T) {
	r := newRestarted("i-2", nil)
	r.predecessors.endedBefore = []membership.EndedServer{{ID: membership.HostDigest("i-1"), StartUnixMs: 1000}}
	r.announce(t, "i-2", stateReady, 1)
	must.Eq(t, "i-2", r.localServer().ID)
	r.now = r.now.Add(memoryTime)
	r.healthError = errLeaving
	r.announce(t, "i-3", stateReady, 1)
	must.Eq(t, "i-3", r.localServer().ID)
}

// Guards against a server that has ended beside an earlier process and is discovered, or announces itself
// late, before the other daemons have reported that it has.
func TestServers_EndedBesideEarlierProcess(t *testing.T) {
	for _, id := range []string{"i-1", "i-2"} {
		r := newRestarted("i-1", nil)
		r.announce(t, "i-1", stateReady, 4)
		must.Eq(t, "i-1", r.localServer().ID)
		r.predecessors.endedBefore = []membership.EndedServer{{ID: membership.HostDigest(id), StartUnixMs: 1000}}
		r.inheritEnded()
		must.Eq(t, id != "i-1", r.localServer().ID == "i-1")
		r.announce(t, "i-1", stateReady, 5)
		must.Eq(t, id != "i-1", r.localServer().ID == "i-1")
		must.Eq(t, r.predecessors.endedBefore, r.predecessors.distributed)
	}
}

// Guards against an acknowledged end of a server that no other daemon learns of.
func TestServers_EndIsDistributedBeforeItIsAcknowledged(t *testing.T) {
	r := newRestarted("i-1", nil)
	r.announce(t, "i-1", stateReady, 4)
	must.Eq(t, http.StatusOK, r.sendServer(http.MethodDelete, "i-1", ""))
	must.Len(t, 1, r.predecessors.distributed)
	must.Eq(t, membership.HostDigest("i-1"), r.predecessors.distributed[0].ID)
	must.Eq(t, r.now.UnixMilli(), r.predecessors.distributed[0].StartUnixMs)
}

// Guards against servers that become known only after the document, when all daemons have lost power, and
// against one that leaves and is made known before it can be checked.
func TestServers_AnnouncementBeforeTheDocument(t *testing.T) {
	for _, after := range []error{nil, errLeaving} {
		r := newRestarted("i-1", ErrNoDocument)
		for sequence := 7; sequence < 9; sequence++ {
			r.announce(t, "i-1", stateReady, sequence)
			must.Eq(t, "i-1", r.localServer().ID)
			r.reviewHeld(t.Context())
			must.Eq(t, "i-1", r.localServer().ID)
		}
		r.healthError = after
		r.reviewHeld(t.Context())
		must.Eq(t, after == nil, r.localServer().ID == "i-1")
		r.announce(t, "i-1", stateReady, 9)
		must.Eq(t, after == nil, r.localServer().ID == "i-1")
		must.Eq(t, after != nil, len(r.held.all()) == 1)
	}
}

// The decision on an announcement after a restart.
func TestServerCheck_Verdict(t *testing.T) {
	for name, c := range map[string]struct {
		check serverCheck
		want  verdict
	}{
		"no document yet":                    {serverCheck{hasHealthCheck: true, noDocument: true}, acceptForNow},
		"healthy":                            {serverCheck{hasHealthCheck: true, healthy: true, sameID: true}, accept},
		"another server is healthy":          {serverCheck{asked: true, hasHealthCheck: true, healthy: true, announcedFor: time.Minute}, hold},
		"leaving or failing":                 {serverCheck{asked: true, hasHealthCheck: true, heldFor: time.Minute}, hold},
		"failing, and announces itself":      {serverCheck{hasHealthCheck: true, announcedFor: holdTime}, accept},
		"no health check, others asked":      {serverCheck{asked: true}, accept},
		"no health check, others not asked":  {serverCheck{heldFor: askTime - 1}, hold},
		"no health check, nobody answers":    {serverCheck{heldFor: askTime}, accept},
		"no health check, announces itself":  {serverCheck{announcedFor: holdTime}, accept},
		"failing, and announced itself once": {serverCheck{hasHealthCheck: true, announcedFor: holdTime - 1}, hold},
	} {
		must.Eq(t, c.want, c.check.verdict(), must.Sprint(name))
	}
}
