package telemetry

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Whoever reads the log stops reading. Lines are dropped and counted, and nobody who
// writes one waits; when the reader comes back it is told how many are missing.
func TestLineQueueDoesNotBlock(t *testing.T) {
	r, w := io.Pipe()
	q := NewLineQueue(w)
	for range 2 * queuedLines {
		_, err := q.Write([]byte("line\n"))
		must.NoError(t, err)
	}
	must.GreaterEq(t, queuedLines-1, q.Dropped())
	read := make(chan string)
	go func() {
		var b bytes.Buffer
		_, _ = io.Copy(&b, r)
		read <- b.String()
	}()
	q.Close()
	<-q.done
	must.NoError(t, w.Close())
	text := <-read
	must.True(t, strings.Contains(text, "log lines dropped"))
}
