package eventlog

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Offsets are ordered by epoch first, and give both of their parts back.
func TestOffsetsAreOrderedByEpoch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		epochs := [2]uint32{rapid.Uint32().Draw(t, "epoch"), rapid.Uint32().Draw(t, "other epoch")}
		indexes := [2]uint64{rapid.Uint64Max(MaxIndex).Draw(t, "index"), rapid.Uint64Max(MaxIndex).Draw(t, "other index")}
		a, b := At(epochs[0], indexes[0]), At(epochs[1], indexes[1])
		must.Eq(t, epochs[0], Epoch(a))
		must.Eq(t, indexes[0], Index(a))
		before := epochs[0] < epochs[1] || epochs[0] == epochs[1] && indexes[0] < indexes[1]
		must.Eq(t, before, a < b)
		if before && epochs[0] == epochs[1] {
			must.Eq(t, b-a, Between(a, b))
		}
	})
	must.Eq(t, 7, At(0, 7))
	must.Eq(t, 3, Between(At(1, 900), At(2, 3)))
	must.Eq(t, 0, Between(At(2, 3), At(1, 900)))
}
