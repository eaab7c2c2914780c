package checker

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/internal/standin/backendserver"
)

// ExecutionLog collects executions from the JSON lines of backend servers, one
// line at the beginning of each and one at its end.
type ExecutionLog struct {
	list  []backendserver.Execution
	index map[executionID]int
}

// executionID tells executions apart: two lives of a server record into one
// file.
type executionID struct {
	server    string
	boot, seq uint64
}

// NewExecutionLog returns an empty log.
func NewExecutionLog() *ExecutionLog { return &ExecutionLog{index: map[executionID]int{}} }

// Add takes in lines and returns the number of bytes used: a last line that is
// not whole yet is left for the next time.
func (l *ExecutionLog) Add(r io.Reader) (used int64, err error) {
	b, err := io.ReadAll(r)
	if err != nil {
		return 0, errors.Wrap(err, "read executions")
	}
	for {
		n := bytes.IndexByte(b[used:], '\n')
		if n < 0 {
			return used, nil
		}
		var e backendserver.Execution
		if err := json.Unmarshal(b[used:used+int64(n)], &e); err != nil {
			return used, errors.Wrapf(err, "execution %q", b[used:used+int64(n)])
		}
		l.put(e)
		used += int64(n) + 1
	}
}

func (l *ExecutionLog) put(e backendserver.Execution) {
	id := executionID{e.Server, e.Boot, e.Seq}
	if i, ok := l.index[id]; ok {
		l.list[i] = e
		return
	}
	l.index[id] = len(l.list)
	l.list = append(l.list, e)
}

// Executions returns all executions so far, in the order in which they were
// taken in.
func (l *ExecutionLog) Executions() []backendserver.Execution { return l.list }
