package eventlog

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Offsets are ordered by epoch first and then by index, and both parts can be read back.
func TestOffsetsAreOrderedByEpoch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		epochs := [2]uint32{rapid.Uint32().Draw(t, "epoch"), rapid.Uint32().Draw(t, "other epoch")}
		indexes := [2]uint64{rapid.Uint64Max(MaxIndex).Draw(t, "index"), rapid.Uint64Max(MaxIndex).Draw(t, "other index")}
		a, b := MakeOffset(epochs[0], indexes[0]), MakeOffset(epochs[1], indexes[1])
		must.Eq(t, epochs[0], Epoch(a))
		must.Eq(t, indexes[0], Index(a))
		before := epochs[0] < epochs[1] || epochs[0] == epochs[1] && indexes[0] < indexes[1]
		must.Eq(t, before, a < b)
		if before && epochs[0] == epochs[1] {
			must.Eq(t, b-a, RecordsBetween(a, b))
		}
	})
	must.Eq(t, 7, MakeOffset(0, 7))
	must.Eq(t, 3, RecordsBetween(MakeOffset(1, 900), MakeOffset(2, 3)))
	must.Eq(t, 0, RecordsBetween(MakeOffset(2, 3), MakeOffset(1, 900)))
}
