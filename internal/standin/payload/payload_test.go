package payload

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// A payload verifies for its own request and size only, however it is cut into
// reads. A part that ends well, more than the whole, and another request's
// bytes are mismatches; a break is not, since the receiver saw it.
func TestVerify(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.Int64Range(1, 100_000).Draw(t, "size")
		whole, err := io.ReadAll(NewReader("id-1", size))
		must.NoError(t, err)
		must.Len(t, int(size), whole)
		must.NoError(t, Verify(iotest.HalfReader(bytes.NewReader(whole)), "id-1", size))
		must.NoError(t, Verify(iotest.DataErrReader(bytes.NewReader(whole)), "id-1", size))

		cut := rapid.Int64Range(0, size-1).Draw(t, "cut")
		must.ErrorIs(t, Verify(bytes.NewReader(whole[:cut]), "id-1", size), ErrMismatch)
		must.ErrorIs(t, Verify(bytes.NewReader(append(whole, 'x')), "id-1", size), ErrMismatch)
		must.ErrorIs(t, Verify(NewReader("jd-1", size), "id-1", size), ErrMismatch)
		broken := io.MultiReader(bytes.NewReader(whole[:cut]), iotest.ErrReader(io.ErrUnexpectedEOF))
		err = Verify(broken, "id-1", size)
		must.ErrorIs(t, err, io.ErrUnexpectedEOF)
		must.False(t, errors.Is(err, ErrMismatch))
	})
}
