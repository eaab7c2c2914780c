package announce

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/snapshot"
)

const (
	firstInstance  = `{"service":"desk","address":"127.0.0.1:9001","slots":6,"state":"ready","sequence":40,"born":1000}`
	secondInstance = `{"service":"desk","address":"127.0.0.1:9001","slots":6,"state":"ready","sequence":1,"born":2000}`
)

func (f *fixture) sendServer(method, id, body string) int {
	w := httptest.NewRecorder()
	f.Handler().ServeHTTP(w, httptest.NewRequest(method, ServersPath+"/"+id, strings.NewReader(body)))
	return w.Code
}

func (f *fixture) localServer() blackboard.LocalBackend {
	if l := f.Board.Local.Load(); l != nil {
		return *l
	}
	return blackboard.LocalBackend{}
}

// putInForce puts a document with the given services into force.
func (f *fixture) putInForce(t *testing.T, services ...string) {
	t.Helper()
	d := &configpb.Document{Version: 1}
	for _, name := range services {
		d.Services = append(d.Services, &configpb.DocumentService{Name: name})
	}
	data, err := fold.EncodeDocument(d)
	must.NoError(t, err)
	state, err := fold.FromDocument(1, data)
	must.NoError(t, err)
	f.Board.Snapshot.Store(snapshot.Build(nil, state, nil))
}

// A backend server crashes and restarts with the same ID, its sequence numbers starting over. If
// its announcements were ignored as late ones, the previous instance's draining state would
// still apply and the server would receive no calls.
func TestServers_RestartedInstanceReplacesPredecessor(t *testing.T) {
	f := newFixture()
	must.Eq(t, http.StatusOK, f.sendServer(http.MethodPut, "i-1", firstInstance))
	must.Eq(t, http.StatusOK, f.sendServer(http.MethodPut, "i-1", strings.NewReplacer("ready", "draining", "40", "41").Replace(firstInstance)))
	must.True(t, f.localServer().Draining)
	must.Eq(t, http.StatusOK, f.sendServer(http.MethodPut, "i-1", secondInstance))
	must.False(t, f.localServer().Draining)
	must.Eq(t, 1, f.localServer().Sequence)
}

// A server is withdrawn, which is acknowledged, and restarts with the same ID. If the ID itself
// counted as ended, the server would never receive calls again.
func TestServers_RestartAfterAcknowledgedWithdrawal(t *testing.T) {
	for name, body := range map[string]string{"with its start": `{"born":1000}`, "without its start": ""} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.sendServer(http.MethodPut, "i-1", firstInstance)
			must.Eq(t, http.StatusOK, f.sendServer(http.MethodDelete, "i-1", body))
			must.Eq(t, "", f.localServer().ID)
			f.sendServer(http.MethodPut, "i-1", strings.Replace(firstInstance, "40", "42", 1))
			must.Eq(t, "", f.localServer().ID)
			f.sendServer(http.MethodPut, "i-1", secondInstance)
			must.Eq(t, "i-1", f.localServer().ID)
		})
	}
}

// Announcements and the withdrawal of a crashed instance arrive late, the announcements with
// higher sequence numbers than those of the running instance. They must not affect the running
// one.
func TestServers_EarlierInstanceChangesNothing(t *testing.T) {
	f := newFixture()
	f.sendServer(http.MethodPut, "i-1", firstInstance)
	f.sendServer(http.MethodPut, "i-1", secondInstance)
	f.sendServer(http.MethodPut, "i-1", strings.NewReplacer("ready", "draining", "40", "50").Replace(firstInstance))
	must.False(t, f.localServer().Draining)
	f.sendServer(http.MethodDelete, "i-1", `{"born":1000}`)
	must.Eq(t, "i-1", f.localServer().ID)
}

// A restarted daemon discovers the server, but not its start. The server is withdrawn before it
// has announced itself, and its last announcement, which states the start, arrives late. That
// must not bring the server back, while an instance that started later must be accepted.
func TestServers_WithdrawnBeforeItsStartIsKnown(t *testing.T) {
	f := newFixture()
	f.Controller.Service = "desk"
	f.Address = "127.0.0.1:9001"
	(&Discoverer{Controller: f.Controller, Service: "desk"}).addDiscovered("i-1")
	must.Eq(t, "i-1", f.localServer().ID)
	f.sendServer(http.MethodDelete, "i-1", "")
	f.sendServer(http.MethodPut, "i-1", firstInstance)
	must.Eq(t, "", f.localServer().ID)
	f.sendServer(http.MethodPut, "i-1", strings.Replace(secondInstance, "2000", "1700000000000", 1))
	must.Eq(t, "i-1", f.localServer().ID)
}

// A server states its start only after it was discovered. It must remain the same instance,
// which keeps its gate and the statistics of other daemons.
func TestServers_StartStatedLaterKeepsInstance(t *testing.T) {
	f := newFixture()
	f.Address = "127.0.0.1:9001"
	(&Discoverer{Controller: f.Controller, Service: "desk"}).addDiscovered("i-1")
	first := f.localServer().FirstSeen
	f.now = f.now.Add(1)
	f.sendServer(http.MethodPut, "i-1", firstInstance)
	must.Eq(t, 1000, f.localServer().StartUnixMs)
	must.Eq(t, first, f.localServer().FirstSeen)
}

// Another client sends announcements with members missing or of a wrong type, with a state or
// service that does not exist, or bytes that are no announcement. The known server must stay,
// and its later announcements must be accepted.
func TestServers_InvalidAnnouncementsAreRejected(t *testing.T) {
	for name, body := range map[string]string{
		"no bytes":           "",
		"not JSON":           "\x00\xff{",
		"other JSON":         `["ready"]`,
		"service missing":    strings.Replace(secondInstance, `"service":"desk",`, "", 1),
		"service unknown":    strings.Replace(secondInstance, "desk", "ghost", 1),
		"service a number":   strings.Replace(secondInstance, `"desk"`, "7", 1),
		"address missing":    strings.Replace(secondInstance, `"address":"127.0.0.1:9001",`, "", 1),
		"slots missing":      strings.Replace(secondInstance, `"slots":6,`, "", 1),
		"slots a string":     strings.Replace(secondInstance, `"slots":6`, `"slots":"6"`, 1),
		"state missing":      strings.Replace(secondInstance, `"state":"ready",`, "", 1),
		"state unknown":      strings.Replace(secondInstance, "ready", "asleep", 1),
		"sequence missing":   strings.Replace(secondInstance, `"sequence":1,`, "", 1),
		"sequence negative":  strings.Replace(secondInstance, `"sequence":1`, `"sequence":-1`, 1),
		"born a string":      strings.Replace(secondInstance, `"born":2000`, `"born":"2000"`, 1),
		"born a fraction":    strings.Replace(secondInstance, `"born":2000`, `"born":2000.5`, 1),
		"born out of range":  strings.Replace(secondInstance, `"born":2000`, `"born":1e17`, 1),
		"version an object":  strings.Replace(secondInstance, `"slots"`, `"version":{},"slots"`, 1),
		"zone a number":      strings.Replace(secondInstance, `"slots"`, `"availability_zone":3,"slots"`, 1),
		"warm-up a string":   strings.Replace(secondInstance, `"slots"`, `"warm_up_ms":"1s","slots"`, 1),
		"another host's":     strings.Replace(secondInstance, "127.0.0.1", "10.0.0.1", 1),
		"id of another, bad": strings.Replace(secondInstance, "ready", "asleep", 1),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.putInForce(t, "desk", "archive")
			must.Eq(t, http.StatusOK, f.sendServer(http.MethodPut, "i-1", firstInstance))
			must.Eq(t, http.StatusBadRequest, f.sendServer(http.MethodPut, "i-1", body))
			must.Eq(t, http.StatusBadRequest, f.sendServer(http.MethodPut, "i-2", body))
			must.Eq(t, 40, f.localServer().Sequence)
			must.Eq(t, http.StatusOK, f.sendServer(http.MethodPut, "i-1", strings.Replace(firstInstance, "40", "41", 1)))
			must.Eq(t, 41, f.localServer().Sequence)
		})
	}
}

// Whatever bytes arrive, the known server must stay unless a complete announcement replaces it.
func FuzzServers_Announcement(f *testing.F) {
	for _, seed := range []string{firstInstance, secondInstance, "", "{}", `{"born":1e300}`, `{"sequence":null,"slots":null}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		x := newFixture()
		x.putInForce(t, "desk")
		x.sendServer(http.MethodPut, "i-1", firstInstance)
		code := x.sendServer(http.MethodPut, "i-2", string(body))
		if l := x.localServer(); code == http.StatusOK {
			must.Eq(t, "i-2", l.ID)
			must.Eq(t, "desk", l.Service)
			must.Positive(t, l.Slots)
		} else {
			must.Eq(t, "i-1", l.ID)
		}
	})
}

// Guards against a server that counts as ready again because it keeps announcing that it is.
func TestController_LeavingOutlastsAnnouncements(t *testing.T) {
	f := newFixture()
	announce := func(id string, sequence int) {
		body := fmt.Sprintf(`{"service":"signs","address":"127.0.0.1:9001","slots":1,"state":"ready","sequence":%d}`, sequence)
		must.Eq(t, http.StatusOK, f.sendServer(http.MethodPut, id, body))
	}
	announce("i-1", 1)
	f.HandleServerLeaving("i-0")
	must.False(t, f.Board.Local.Load().Draining)
	f.HandleServerLeaving("i-1")
	must.True(t, f.Board.Local.Load().Draining)
	announce("i-1", 2)
	must.True(t, f.Board.Local.Load().Draining)
	announce("i-2", 1)
	must.False(t, f.Board.Local.Load().Draining)
}
