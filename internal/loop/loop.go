// Package loop runs the loops that a part consists of as one.
package loop

import (
	"context"

	"gopkg.in/tomb.v2"
)

// Func blocks until ctx is done and returns nil then, or fails before.
type Func func(ctx context.Context) error

// Run runs all loops until ctx is done, or until one fails: then the others are
// ended and its error is returned.
func Run(ctx context.Context, loops ...Func) error {
	var t tomb.Tomb
	// Not tomb.WithContext: it would make the end of ctx an error.
	inner := t.Context(ctx)
	for _, f := range loops {
		t.Go(func() error {
			err := f(inner)
			if inner.Err() != nil {
				// What fails once the end has begun is its consequence: a
				// closed connection, a canceled wait.
				return nil
			}
			return err
		})
	}
	return t.Wait()
}
