package peer

// markedError is an error that also matches a second error, its mark. The Is method makes this
// work with errors.Is of the standard library too.
type markedError struct {
	error
	mark error
}

// mark returns err marked with the error as.
func mark(err, as error) error { return &markedError{err, as} }

// Is reports whether target is the mark.
func (e *markedError) Is(target error) bool { return target == e.mark }

// Unwrap returns the wrapped error.
func (e *markedError) Unwrap() error { return e.error }
