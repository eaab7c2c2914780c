package eventlog

import "context"

// Directory is a key-value store that keeps the newest value of each key. Implementations are safe
// for concurrent use.
type Directory interface {
	// Put sets the value of a key. An empty value removes the key. The error is ErrUnavailable or
	// ErrUnknown, with the same meaning as for Log.Append.
	Put(ctx context.Context, key string, value []byte) error
	// Update is Put of the value that next returns for the current values of all keys, in the form of
	// List, unless next returns false. If another value was written in between, next is called again, so
	// that a decision in next about what is there holds at the time of the write, however late that is
	// executed. The error is as for Put.
	Update(ctx context.Context, key string, next func(values [][]byte) (value []byte, write bool)) error
	// List returns the values of all keys. If the order of writing is known, the most recently
	// written value comes last.
	List(ctx context.Context) ([][]byte, error)
}

// TailDirectory implements Directory over the most recent records of a log. It stores no keys: each
// value has to identify its own key. Removed keys are not recorded, and List omits values older
// than the last MaxRecords records without reporting so. It therefore suits hints, such as the
// contact addresses of daemons, and not authoritative data.
type TailDirectory struct {
	Log Log
	// MaxRecords is the number of most recent records that List reads.
	MaxRecords uint64
}

// Put implements Directory. It appends the value to the log and ignores an empty value.
func (t TailDirectory) Put(ctx context.Context, _ string, value []byte) error {
	if len(value) == 0 {
		return nil
	}
	_, err := t.Log.Append(ctx, value)
	return err
}

// Update implements Directory. It does not detect values that are written in between.
func (t TailDirectory) Update(ctx context.Context, key string, next func(values [][]byte) ([]byte, bool)) error {
	values, err := t.List(ctx)
	if err != nil {
		return err
	}
	value, write := next(values)
	if !write {
		return nil
	}
	return t.Put(ctx, key, value)
}

// List implements Directory. The result may contain superseded values of a key.
func (t TailDirectory) List(ctx context.Context) ([][]byte, error) {
	b, err := t.Log.Bounds(ctx)
	if err != nil {
		return nil, err
	}
	from := b.First
	if b.End > b.First+t.MaxRecords {
		from = b.End - t.MaxRecords
	}
	if from >= b.End {
		return nil, nil
	}
	records, err := t.Log.Read(ctx, from, int(t.MaxRecords), 0)
	if err != nil {
		return nil, err
	}
	values := make([][]byte, len(records))
	for i, r := range records {
		values[i] = r.Data
	}
	return values, nil
}
