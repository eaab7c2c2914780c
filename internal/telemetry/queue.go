package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the maximum number of log lines in the queue, about 4 MB.
	maxQueuedLines = 8192
	// flushTimeout limits how long Close waits until the queued lines are written.
	flushTimeout = 200 * time.Millisecond
)

// LineQueue is an io.Writer that queues log lines and writes them from its own goroutine. Without
// the queue, a log reader that stops reading would block every goroutine that logs, including those
// that serve requests. Lines that don't fit into the queue are dropped and counted, and the count
// is logged.
type LineQueue struct {
	out io.Writer
	// lines holds the queued lines. A nil line ends run.
	lines   chan []byte
	dropped atomic.Int64
	once    sync.Once
	// done is closed when run returns.
	done chan struct{}
}

// NewLineQueue returns a queue that writes to out. The caller must close it.
func NewLineQueue(out io.Writer) *LineQueue {
	q := &LineQueue{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go q.run()
	return q
}

// Write queues one line. It never blocks and never returns an error.
func (q *LineQueue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (q *LineQueue) Dropped() int64 { return q.dropped.Load() }

// run writes the queued lines until it receives a nil line.
func (q *LineQueue) run() {
	defer close(q.done)
	reported := int64(0)
	for line := range q.lines {
		if line == nil {
			return
		}
		// Errors are ignored because there is nowhere else to report them.
		_, _ = q.out.Write(line)
		if n := q.dropped.Load(); n > reported {
			reported = n
			_, _ = fmt.Fprintf(q.out, "{\"level\":\"WARN\",\"msg\":\"telemetry: log lines dropped\",\"dropped\":%d}\n", n)
		}
	}
}

// Close waits up to flushTimeout until the queued lines are written. Lines that are written to the
// queue afterwards are discarded.
func (q *LineQueue) Close() {
	q.once.Do(func() {
		timeout := time.NewTimer(flushTimeout)
		defer timeout.Stop()
		select {
		case q.lines <- nil:
		case <-timeout.C:
			return
		}
		select {
		case <-q.done:
		case <-timeout.C:
		}
	})
}
