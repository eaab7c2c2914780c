package httplog

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/crocuscross/crocuscross/eventlog"
)

// progress tells whether any byte of a request can have left this process. It
// errs on one side only: a record that is reported as not sent but was sent
// would be published again as new, while one that is reported as unknown is
// looked up first.
type progress struct {
	// asked is set when the transport looks for a connection. A transport that
	// never sets it reports nothing, so nothing follows from its silence.
	asked atomic.Bool
	// connected is set when it has one, before it writes. It is never cleared:
	// a client that repeats a request by itself may have written at first and
	// found no connection later.
	connected atomic.Bool
}

func (p *progress) watch(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { p.asked.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { p.connected.Store(true) },
	})
}

// classify says what an append that got no answer means.
func (p *progress) classify(err error) error {
	if p.asked.Load() && !p.connected.Load() {
		return eventlog.Unavailable(err)
	}
	return eventlog.Unknown(err)
}
