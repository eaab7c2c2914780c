package peer

// markedError is an error that also is another one, for the standard library's
// errors.Is as well.
type markedError struct {
	error
	mark error
}

func mark(err, as error) error { return &markedError{err, as} }

// Is reports whether target is the mark.
func (e *markedError) Is(target error) bool { return target == e.mark }

// Unwrap returns the error itself.
func (e *markedError) Unwrap() error { return e.error }
