package httplog

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/crocuscross/crocuscross/eventlog"
)

// progress records whether a request may have left this process. When in doubt, it reports that the
// request may have been sent: a record that was sent but is reported as not sent would be published
// a second time, whereas the publisher looks up a record with an unknown outcome before it
// publishes it again.
type progress struct {
	// connRequested is set when the transport starts to obtain a connection. If it is not set, the
	// transport does not support tracing, and nothing is known about the request.
	connRequested atomic.Bool
	// connObtained is set when the transport has obtained a connection, before it writes to it. It
	// is never cleared: a client that retries on its own may have written to the first connection
	// and then failed to obtain another.
	connObtained atomic.Bool
}

func (p *progress) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { p.connRequested.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { p.connObtained.Store(true) },
	})
}

// classify returns the error of an append that received no response.
func (p *progress) classify(err error) error {
	if p.connRequested.Load() && !p.connObtained.Load() {
		return eventlog.Unavailable(err)
	}
	return eventlog.Unknown(err)
}
