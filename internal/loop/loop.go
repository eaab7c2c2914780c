// Package loop runs the loops of a component together.
package loop

import (
	"context"

	"gopkg.in/tomb.v2"
)

// Func is a loop. It blocks until ctx is done and then returns nil; it returns an error if it
// fails earlier.
type Func func(ctx context.Context) error

// Run runs all loops until ctx is done or one of them fails. On a failure it cancels the other
// loops, waits for them and returns the error.
func Run(ctx context.Context, loops ...Func) error {
	var t tomb.Tomb
	// tomb.WithContext is not used because it would report the end of ctx as an error.
	inner := t.Context(ctx)
	for _, f := range loops {
		t.Go(func() error {
			err := f(inner)
			if inner.Err() != nil {
				// An error after the cancellation is a consequence of it, such as a closed
				// connection or a canceled wait.
				return nil
			}
			return err
		})
	}
	return t.Wait()
}
