// Package command holds what the commands of the command line share: exit
// statuses, output, and the ways to the platform and to a daemon.
package command

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
)

// Status is the exit status of the program.
type Status int

// The exit statuses. Scripts rely on them; they are listed in --help and in the
// README.
const (
	StatusOK           Status = 0
	StatusFailed       Status = 1
	StatusBadInput     Status = 2
	StatusRejected     Status = 3
	StatusUnknown      Status = 4
	StatusNotConverged Status = 5
)

// Meanings lists the exit statuses for people.
const Meanings = `Exit status:
  0  done
  1  failed; a publish that fails has published nothing
  2  usage or bad input: arguments, settings file, publish file
  3  the publish was rejected
  4  the outcome of the publish is unknown; repeat it with the same --publish-id
  5  the publish was accepted and is not yet in force on every live daemon
`

// ExitError is an error with the status that the program exits with.
type ExitError struct {
	Status Status
	// cause is nil where the command has already told all.
	cause error
}

// Exit returns an error that ends the program with a status. err is printed; it
// may be nil.
func Exit(status Status, err error) *ExitError { return &ExitError{Status: status, cause: err} }

// Exitf is Exit with a text.
func Exitf(status Status, format string, args ...any) *ExitError {
	return Exit(status, errors.Newf(format, args...))
}

// Error returns the cause's text.
func (e *ExitError) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("exit status %d", e.Status)
	}
	return e.cause.Error()
}

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.cause }

// Silent reports whether the command has already told all.
func (e *ExitError) Silent() bool { return e.cause == nil }

// Action adapts a command's function for the library. Whatever error carries no
// status of its own is a failure; only the library's own errors, which do not
// pass here, are wrong arguments.
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
