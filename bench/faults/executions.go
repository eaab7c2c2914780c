package main

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/bench/checker"
	"github.com/crocuscross/crocuscross/bench/trial"
	"github.com/crocuscross/crocuscross/internal/standin/backendserver"
)

// executions follows the files into which the backend servers record.
type executions struct {
	trial *trial.Trial
	log   *checker.ExecutionLog
	// used is how much of each file has been taken in, in bytes.
	used map[string]int64
}

func newExecutions(t *trial.Trial) *executions {
	return &executions{trial: t, log: checker.NewExecutionLog(), used: map[string]int64{}}
}

// read takes in what is new and returns all executions so far.
func (e *executions) read() ([]backendserver.Execution, error) {
	for _, h := range e.trial.Hosts {
		if err := e.follow(e.trial.RecordFile(h)); err != nil {
			return nil, errors.Wrap(err, h.Name)
		}
	}
	return e.log.Executions(), nil
}

func (e *executions) follow(path string) error {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := f.Seek(e.used[path], io.SeekStart); err != nil {
		return err
	}
	n, err := e.log.Add(f)
	e.used[path] += n
	return err
}
