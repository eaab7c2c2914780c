// Package command holds what the commands of the command line share: exit statuses, output formats,
// and the connections to the platform's log service and to a daemon.
package command

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
)

// Status is the exit status of the program.
type Status int

// Exit statuses. Scripts rely on these values; --help and the README list them.
const (
	StatusOK           Status = 0
	StatusFailed       Status = 1
	StatusBadInput     Status = 2
	StatusRejected     Status = 3
	StatusUnknown      Status = 4
	StatusNotConverged Status = 5
)

// ExitStatusHelp is the section of --help that lists the exit statuses.
const ExitStatusHelp = `Exit status:
  0  done
  1  failed; a publish that fails has published nothing
  2  usage or bad input: arguments, settings file, publish file
  3  the publish was rejected
  4  the outcome of the publish is unknown; repeat it with the same --publish-id
  5  the publish was accepted and is not yet in force on every live daemon
`

// ExitError is an error that carries the exit status of the program.
type ExitError struct {
	Status Status
	// cause is nil if the output of the command already states the failure.
	cause error
}

// Exit returns an error that ends the program with the given status. err is printed to standard
// error; with a nil err nothing is printed.
func Exit(status Status, err error) *ExitError { return &ExitError{Status: status, cause: err} }

// Exitf is like Exit, with an error from a format string.
func Exitf(status Status, format string, args ...any) *ExitError {
	return Exit(status, errors.Newf(format, args...))
}

// Error returns the message of the cause, or the exit status if there is no cause.
func (e *ExitError) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("exit status %d", e.Status)
	}
	return e.cause.Error()
}

// Unwrap returns the cause, which may be nil.
func (e *ExitError) Unwrap() error { return e.cause }

// Silent reports whether the output of the command already states the failure, so that no message
// is printed.
func (e *ExitError) Silent() bool { return e.cause == nil }

// Action adapts a command's function to kingpin. An error without an ExitError gets StatusFailed.
// kingpin's own errors, which mean invalid arguments, do not pass through Action.
func Action(run func() error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		err := run()
		var exit *ExitError
		if err == nil || errors.As(err, &exit) {
			return err
		}
		return Exit(StatusFailed, err)
	}
}
