package outbound

import (
	"sync"
	"time"

	"github.com/crocuscross/crocuscross/peerpb"
)

// noticeTTL is how long a notice is kept that no response confirms. A server that leaves is gone by
// then.
const noticeTTL = 10 * time.Minute

// serverNotices holds the latest notices of backend servers that this daemon has received, by host.
// They go along with the calls to the host, so that a daemon that restarts beside a running server
// does not start without them.
type serverNotices struct {
	byHost sync.Map // of string to receivedNotice
}

type receivedNotice struct {
	message *peerpb.ServerNotice
	at      time.Time
}

// get returns the notice of the server on a host, nil if there is none.
func (n *serverNotices) get(host string) *peerpb.ServerNotice {
	r, ok := n.byHost.Load(host)
	if !ok {
		return nil
	}
	return r.(receivedNotice).message
}

// set records the notice of the server on a host.
func (n *serverNotices) set(host string, m *peerpb.ServerNotice, now time.Time) {
	if _, known := n.byHost.Swap(host, receivedNotice{m, now}); !known {
		n.prune(now)
	}
}

// clear removes the notice of the server on a host, unless it was received after the call that shows
// that there is none had been sent.
func (n *serverNotices) clear(host string, sent time.Time) {
	r, ok := n.byHost.Load(host)
	if ok && sent.After(r.(receivedNotice).at) {
		n.byHost.CompareAndDelete(host, r)
	}
}

// prune removes the notices of servers that have not responded for noticeTTL.
func (n *serverNotices) prune(now time.Time) {
	n.byHost.Range(func(host, r any) bool {
		if now.Sub(r.(receivedNotice).at) > noticeTTL {
			n.byHost.CompareAndDelete(host, r)
		}
		return true
	})
}

// observeNotice records the notice that a gate reports with a response. A response of the server
// without a notice means that the server states nothing.
func (a *attempt) observeNotice(head *peerpb.AnswerHead) {
	notices := &a.c.h.notices
	if m := head.GetServerNotice(); m != nil {
		notices.set(a.server.Host, m, time.Now())
	} else if head.GetErrorKind() == "" && head.GetStatus() != statusContinue {
		notices.clear(a.server.Host, a.start)
	}
}
