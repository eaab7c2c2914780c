package announce

import (
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
	firstLife  = `{"service":"desk","address":"127.0.0.1:9001","slots":6,"state":"ready","sequence":40,"born":1000}`
	secondLife = `{"service":"desk","address":"127.0.0.1:9001","slots":6,"state":"ready","sequence":1,"born":2000}`
)

func (f *fixture) sendServer(method, id, body string) int {
	w := httptest.NewRecorder()
	f.Handler().ServeHTTP(w, httptest.NewRequest(method, ServersPath+"/"+id, strings.NewReader(body)))
	return w.Code
}

func (f *fixture) known() blackboard.LocalBackend {
	if l := f.Board.Local.Load(); l != nil {
		return *l
	}
	return blackboard.LocalBackend{}
}

// inForce puts a document with the services in force.
func (f *fixture) inForce(t *testing.T, services ...string) {
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

// A backend server crashes and starts again under its id, with its counts anew. Taken for
// late, its announcements would change nothing, and calls would go on as if the draining
// of the life before held for it: the server would get none.
func TestServers_NextLifeOfAnIDIsTakenAtOnce(t *testing.T) {
	f := newFixture()
	must.Eq(t, http.StatusOK, f.sendServer(http.MethodPut, "i-1", firstLife))
	must.Eq(t, http.StatusOK, f.sendServer(http.MethodPut, "i-1", strings.NewReplacer("ready", "draining", "40", "41").Replace(firstLife)))
	must.True(t, f.known().Draining)
	must.Eq(t, http.StatusOK, f.sendServer(http.MethodPut, "i-1", secondLife))
	must.False(t, f.known().Draining)
	must.Eq(t, 1, f.known().Sequence)
}

// A server leaves, which is acknowledged, and starts again under its id. Remembered as
// ended, the id would stay without calls for good.
func TestServers_NextLifeAfterAnAcknowledgedLeaving(t *testing.T) {
	for name, goodbye := range map[string]string{"told": `{"born":1000}`, "untold": ""} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.sendServer(http.MethodPut, "i-1", firstLife)
			must.Eq(t, http.StatusOK, f.sendServer(http.MethodDelete, "i-1", goodbye))
			must.Eq(t, "", f.known().ID)
			f.sendServer(http.MethodPut, "i-1", strings.Replace(firstLife, "40", "42", 1))
			must.Eq(t, "", f.known().ID)
			f.sendServer(http.MethodPut, "i-1", secondLife)
			must.Eq(t, "i-1", f.known().ID)
		})
	}
}

// Announcements of a life that has crashed come late, with higher counts than those of
// the life that is there now, and so does its goodbye. Neither may touch the new one.
func TestServers_EarlierLifeChangesNothing(t *testing.T) {
	f := newFixture()
	f.sendServer(http.MethodPut, "i-1", firstLife)
	f.sendServer(http.MethodPut, "i-1", secondLife)
	f.sendServer(http.MethodPut, "i-1", strings.NewReplacer("ready", "draining", "40", "50").Replace(firstLife))
	must.False(t, f.known().Draining)
	f.sendServer(http.MethodDelete, "i-1", `{"born":1000}`)
	must.Eq(t, "i-1", f.known().ID)
}

// A daemon restarts and finds the server by a question, which does not tell its start. The
// server leaves before it has announced itself; its last announcement comes late and tells
// the start. It must not bring the server back, while a life that starts later may come.
func TestServers_LeftBeforeItsStartWasKnown(t *testing.T) {
	f := newFixture()
	f.Controller.Service = "desk"
	f.Address = "127.0.0.1:9001"
	(&Discoverer{Controller: f.Controller, Service: "desk"}).found("i-1")
	must.Eq(t, "i-1", f.known().ID)
	f.sendServer(http.MethodDelete, "i-1", "")
	f.sendServer(http.MethodPut, "i-1", firstLife)
	must.Eq(t, "", f.known().ID)
	f.sendServer(http.MethodPut, "i-1", strings.Replace(secondLife, "2000", "1700000000000", 1))
	must.Eq(t, "i-1", f.known().ID)
}

// The start that a server tells after it was found by a question is that of the same life:
// its gate and what others have seen of it stay.
func TestServers_StartToldLaterIsTheSameLife(t *testing.T) {
	f := newFixture()
	f.Address = "127.0.0.1:9001"
	(&Discoverer{Controller: f.Controller, Service: "desk"}).found("i-1")
	first := f.known().FirstSeen
	f.now = f.now.Add(1)
	f.sendServer(http.MethodPut, "i-1", firstLife)
	must.Eq(t, 1000, f.known().StartUnixMs)
	must.Eq(t, first, f.known().FirstSeen)
}

// Another writer announces a server with members missing or of another type, a state or a
// service that does not exist, or bytes that are no announcement. The server that is known
// keeps its place and its later announcements count.
func TestServers_AnnouncementsOfOtherWriters(t *testing.T) {
	for name, body := range map[string]string{
		"no bytes":           "",
		"not JSON":           "\x00\xff{",
		"other JSON":         `["ready"]`,
		"service missing":    strings.Replace(secondLife, `"service":"desk",`, "", 1),
		"service unknown":    strings.Replace(secondLife, "desk", "ghost", 1),
		"service a number":   strings.Replace(secondLife, `"desk"`, "7", 1),
		"address missing":    strings.Replace(secondLife, `"address":"127.0.0.1:9001",`, "", 1),
		"slots missing":      strings.Replace(secondLife, `"slots":6,`, "", 1),
		"slots a string":     strings.Replace(secondLife, `"slots":6`, `"slots":"6"`, 1),
		"state missing":      strings.Replace(secondLife, `"state":"ready",`, "", 1),
		"state unknown":      strings.Replace(secondLife, "ready", "asleep", 1),
		"sequence missing":   strings.Replace(secondLife, `"sequence":1,`, "", 1),
		"sequence negative":  strings.Replace(secondLife, `"sequence":1`, `"sequence":-1`, 1),
		"born a string":      strings.Replace(secondLife, `"born":2000`, `"born":"2000"`, 1),
		"born a fraction":    strings.Replace(secondLife, `"born":2000`, `"born":2000.5`, 1),
		"born out of range":  strings.Replace(secondLife, `"born":2000`, `"born":1e17`, 1),
		"version an object":  strings.Replace(secondLife, `"slots"`, `"version":{},"slots"`, 1),
		"zone a number":      strings.Replace(secondLife, `"slots"`, `"availability_zone":3,"slots"`, 1),
		"warm-up a string":   strings.Replace(secondLife, `"slots"`, `"warm_up_ms":"1s","slots"`, 1),
		"another host's":     strings.Replace(secondLife, "127.0.0.1", "10.0.0.1", 1),
		"id of another, bad": strings.Replace(secondLife, "ready", "asleep", 1),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.inForce(t, "desk", "archive")
			must.Eq(t, http.StatusOK, f.sendServer(http.MethodPut, "i-1", firstLife))
			must.Eq(t, http.StatusBadRequest, f.sendServer(http.MethodPut, "i-1", body))
			must.Eq(t, http.StatusBadRequest, f.sendServer(http.MethodPut, "i-2", body))
			must.Eq(t, 40, f.known().Sequence)
			must.Eq(t, http.StatusOK, f.sendServer(http.MethodPut, "i-1", strings.Replace(firstLife, "40", "41", 1)))
			must.Eq(t, 41, f.known().Sequence)
		})
	}
}

// Whatever bytes come, a server that is known stays unless a whole announcement or a
// goodbye took its place.
func FuzzServers_Announcement(f *testing.F) {
	for _, seed := range []string{firstLife, secondLife, "", "{}", `{"born":1e300}`, `{"sequence":null,"slots":null}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		x := newFixture()
		x.inForce(t, "desk")
		x.sendServer(http.MethodPut, "i-1", firstLife)
		code := x.sendServer(http.MethodPut, "i-2", string(body))
		if l := x.known(); code == http.StatusOK {
			must.Eq(t, "i-2", l.ID)
			must.Eq(t, "desk", l.Service)
			must.Positive(t, l.Slots)
		} else {
			must.Eq(t, "i-1", l.ID)
		}
	})
}
