package eventlog

import "context"

// Directory keeps the newest value of each key. Implementations are safe for
// concurrent use.
type Directory interface {
	// Put sets the value of a key; an empty value removes the key. The error is
	// ErrUnavailable or ErrUnknown, as of Log.Append.
	Put(ctx context.Context, key string, value []byte) error
	// List returns the values, the newest last where that is known.
	List(ctx context.Context) ([][]byte, error)
}

// TailDirectory is a Directory over the latest records of a log whose values name their
// keys themselves. What is removed, and what lies further back than the tail, is
// not told apart: it suits hints, such as contacts.
type TailDirectory struct {
	Log Log
	// MaxRecords is how many of the latest records are looked at.
	MaxRecords uint64
}

// Put implements Directory.
func (t TailDirectory) Put(ctx context.Context, _ string, value []byte) error {
	if len(value) == 0 {
		return nil
	}
	_, err := t.Log.Append(ctx, value)
	return err
}

// List implements Directory. It returns older values of a key as well.
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
