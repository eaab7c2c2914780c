package announce

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/internal/answer"
	"github.com/crocuscross/crocuscross/internal/blackboard"
)

const good = `{"service":"sign-feed","url":"http://127.0.0.1:9001","slots":10}`

// fixture is a controller with a clock that the test sets.
type fixture struct {
	*Controller
	now time.Time
}

func newFixture() *fixture {
	f := &fixture{now: time.Unix(1000, 0)}
	f.Controller = &Controller{
		Board: &blackboard.Board{}, Logger: slog.New(slog.DiscardHandler),
		Now: func() time.Time { return f.now },
	}
	return f
}

func (f *fixture) send(method, query, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	f.Handler().ServeHTTP(w, httptest.NewRequest(method, Path+query, strings.NewReader(body)))
	return w
}

func (f *fixture) service() string {
	l := f.Board.Local.Load()
	if l == nil {
		return ""
	}
	return l.Service
}

func TestController_RenewalKeepsFirstSeen(t *testing.T) {
	f := newFixture()
	must.Eq(t, http.StatusNoContent, f.send(http.MethodPut, "", good).Code)
	first := f.Board.Local.Load().FirstSeen
	f.now = f.now.Add(time.Second)
	must.Eq(t, http.StatusNoContent, f.send(http.MethodPut, "", good).Code)
	must.Eq(t, first, f.Board.Local.Load().FirstSeen)
}

// A backend server crashes and cannot withdraw its announcement. The announcement must lapse, so
// that the server receives no more calls.
func TestController_UnrenewedAnnouncementLapses(t *testing.T) {
	f := newFixture()
	f.send(http.MethodPut, "", good)
	f.now = f.now.Add(TTL - time.Millisecond)
	f.expire()
	must.Eq(t, "sign-feed", f.service())
	f.now = f.now.Add(time.Millisecond)
	f.expire()
	must.Eq(t, "", f.service())
}

// A backend server is replaced on its host and stops after its successor has announced itself.
// Its withdrawal must not remove the successor from the routes.
func TestController_OldServerDoesNotWithdrawItsSuccessor(t *testing.T) {
	f := newFixture()
	f.send(http.MethodPut, "", strings.Replace(good, "9001", "9002", 1))
	f.send(http.MethodDelete, "?url="+url.QueryEscape("http://127.0.0.1:9001"), "")
	must.Eq(t, "sign-feed", f.service())
	f.send(http.MethodDelete, "?url="+url.QueryEscape("http://127.0.0.1:9002"), "")
	must.Eq(t, "", f.service())
}

func TestController_InvalidAnnouncementsAreRejected(t *testing.T) {
	for name, body := range map[string]string{
		"not JSON":      "x",
		"unknown field": strings.Replace(good, "slots", "slot", 1),
		"no service":    strings.Replace(good, "sign-feed", "", 1),
		"no slots":      strings.Replace(good, "10", "0", 1),
		"other host":    strings.Replace(good, "127.0.0.1", "10.0.0.1", 1),
		"host name":     strings.Replace(good, "127.0.0.1", "localhost", 1),
		"https":         strings.Replace(good, "http:", "https:", 1),
		"too large":     `{"service":"` + strings.Repeat("x", maxRequestBytes) + `"}`,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			w := f.send(http.MethodPut, "", body)
			must.Eq(t, http.StatusBadRequest, w.Code)
			must.Eq(t, "bad_request", w.Header().Get(answer.HeaderError))
			must.Eq(t, "", f.service())
		})
	}
}
