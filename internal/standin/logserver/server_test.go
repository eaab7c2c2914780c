package logserver

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/eventlog/httplog"
	"github.com/crocuscross/crocuscross/eventlog/memlog"
)

// command posts to the admin API and returns the counters.
func command(t *testing.T, url string) Counters {
	resp, err := http.Post(url, "", nil)
	must.NoError(t, err)
	defer resp.Body.Close()
	must.Eq(t, http.StatusOK, resp.StatusCode)
	var c Counters
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&c))
	return c
}

// Each fault that can be ordered over HTTP must reach the caller as the error
// that it stands for, and the server must end while a read still waits.
func TestFaultsOnCommand(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ended := make(chan error, 1)
	svc := memlog.New(memlog.DefaultOptions())
	go func() { ended <- New(svc).Run(ctx, ln) }()
	base := "http://" + ln.Addr().String()
	log := httplog.New(httplog.Options{BaseURL: base}).Stream("config")

	command(t, base+"/admin/lose-answers?count=1")
	_, err = log.Append(ctx, []byte("a"))
	must.ErrorIs(t, err, eventlog.ErrUnknown)
	command(t, base+"/admin/lose-requests?count=1")
	_, err = log.Append(ctx, []byte("b"))
	must.ErrorIs(t, err, eventlog.ErrUnknown)
	command(t, base+"/admin/outage?down=true")
	_, err = log.Append(ctx, []byte("c"))
	must.ErrorIs(t, err, eventlog.ErrUnavailable)
	command(t, base+"/admin/outage?down=false")
	command(t, base+"/admin/delay?delay=1ms")
	off, err := log.Append(ctx, []byte("d"))
	must.NoError(t, err)
	must.Eq(t, 2, off)

	command(t, base+"/admin/streams/config/cut?first=2")
	_, err = log.Read(ctx, 1, 1, 0)
	var trunc *eventlog.TruncatedError
	must.True(t, errors.As(err, &trunc))
	command(t, base+"/admin/streams/config/truncate-end?end=2")
	b, err := log.Bounds(ctx)
	must.NoError(t, err)
	must.Eq(t, eventlog.Bounds{First: 2, End: 2}, b)

	c := command(t, base+"/admin/hold")
	must.Eq(t, memlog.Counters{Appends: 2, Reads: 2, Refused: 1, BytesIn: 2}, c.Counters)
	must.Positive(t, c.WireBytesIn)
	must.Positive(t, c.WireBytesOut)
	held, giveUp := context.WithTimeout(ctx, 300*time.Millisecond)
	defer giveUp()
	_, err = log.Append(held, []byte("e"))
	must.ErrorIs(t, err, eventlog.ErrUnknown)
	c = command(t, base+"/admin/release")
	must.Eq(t, 3, c.Appends)

	resp, err := http.Post(base+"/admin/outage?down=perhaps", "", nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusBadRequest, resp.StatusCode)
	must.NoError(t, resp.Body.Close())

	waiting := make(chan error, 1)
	go func() {
		_, err := log.Read(context.Background(), 100, 1, time.Hour)
		waiting <- err
	}()
	for svc.Counters().Reads == c.Reads {
		runtime.Gosched()
	}
	stop()
	must.ErrorIs(t, <-waiting, eventlog.ErrUnavailable)
	must.NoError(t, <-ended)
}
