package inbound

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/internal/proxy/dialect"
)

// noticeSteps drives serverNotices with responses at times in milliseconds.
type noticeSteps struct {
	serverNotices
	epoch time.Time
}

func (s *noticeSteps) response(n dialect.ServerNotice, complete bool, sent, received int) dialect.ServerNotice {
	at := func(ms int) time.Time { return s.epoch.Add(time.Duration(ms) * time.Millisecond) }
	return s.observe(n, complete, at(sent), at(received)).after
}

func limitedTo(perSecond float64) dialect.ServerNotice {
	return dialect.ServerNotice{Limited: true, RateLimit: perSecond}
}

func TestServerNotices_LimitAppliesWhileStated(t *testing.T) {
	s := &noticeSteps{epoch: time.Now()}
	none := dialect.ServerNotice{}
	must.Eq(t, none, s.response(none, true, 0, 10))
	must.Eq(t, limitedTo(2), s.response(limitedTo(2), true, 20, 30))
	must.Eq(t, limitedTo(3), s.response(limitedTo(3), true, 40, 50))
	must.Eq(t, none, s.response(none, true, 60, 70))
}

// Guards against a limit that is forgotten because a response to an earlier request is read last.
func TestServerNotices_LateResponseDoesNotLiftLimit(t *testing.T) {
	s := &noticeSteps{epoch: time.Now()}
	s.response(limitedTo(2), true, 10, 20)
	must.Eq(t, limitedTo(2), s.response(dialect.ServerNotice{}, true, 15, 30))
	must.Eq(t, limitedTo(2), s.response(limitedTo(9), true, 15, 30))
	must.Eq(t, limitedTo(1), s.response(limitedTo(1), true, 15, 30))
}

// Guards against a limit that is forgotten because the server sheds a call.
func TestServerNotices_RejectionDoesNotLiftLimit(t *testing.T) {
	s := &noticeSteps{epoch: time.Now()}
	s.response(limitedTo(2), true, 10, 20)
	must.Eq(t, limitedTo(2), s.response(dialect.ServerNotice{}, false, 30, 40))
	must.Eq(t, limitedTo(1), s.response(limitedTo(1), false, 50, 60))
}

func TestServerNotices_LeavingIsFinal(t *testing.T) {
	s := &noticeSteps{epoch: time.Now()}
	s.response(dialect.ServerNotice{Leaving: true}, true, 10, 20)
	must.Eq(t, dialect.ServerNotice{Leaving: true}, s.response(dialect.ServerNotice{}, true, 30, 40))
}
