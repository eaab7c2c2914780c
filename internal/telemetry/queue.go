package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queuedLines is how many log lines wait for their reader at most, some 4 MB.
	queuedLines = 8192
	// flushWait bounds the wait for a reader at the end of the process.
	flushWait = 200 * time.Millisecond
)

// LineQueue writes log lines from a goroutine of its own. A reader of the log that
// stops reading would else stop whoever writes a line, requests included; lines that
// find the queue full are dropped, counted and told of.
type LineQueue struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	once    sync.Once
	done    chan struct{}
}

// NewLineQueue returns a queue that writes to out. It must be closed.
func NewLineQueue(out io.Writer) *LineQueue {
	q := &LineQueue{out: out, lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go q.run()
	return q
}

// Write implements io.Writer for one line.
func (q *LineQueue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines have been dropped.
func (q *LineQueue) Dropped() int64 { return q.dropped.Load() }

func (q *LineQueue) run() {
	defer close(q.done)
	told := int64(0)
	for line := range q.lines {
		if line == nil {
			return
		}
		// There is nowhere to tell of a log that cannot be written.
		_, _ = q.out.Write(line)
		if n := q.dropped.Load(); n > told {
			told = n
			_, _ = fmt.Fprintf(q.out, "{\"level\":\"WARN\",\"msg\":\"telemetry: log lines dropped\",\"dropped\":%d}\n", n)
		}
	}
}

// Close waits a little for what is queued to be written. Lines may still be written
// to the queue and go nowhere.
func (q *LineQueue) Close() {
	q.once.Do(func() {
		limit := time.NewTimer(flushWait)
		defer limit.Stop()
		select {
		case q.lines <- nil:
		case <-limit.C:
			return
		}
		select {
		case <-q.done:
		case <-limit.C:
		}
	})
}
