package telemetry

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// While the log reader does not read, Write drops and counts lines instead of blocking. When the
// reader resumes, it gets a line with the number of dropped lines.
func TestLineQueueDoesNotBlock(t *testing.T) {
	r, w := io.Pipe()
	q := NewLineQueue(w)
	for range 2 * maxQueuedLines {
		_, err := q.Write([]byte("line\n"))
		must.NoError(t, err)
	}
	must.GreaterEq(t, maxQueuedLines-1, q.Dropped())
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
