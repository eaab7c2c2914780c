package checkpoint

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/eventlog/memlog"
)

var sizes = []int{200, 1000, 2000, 4000}

// writtenStream returns a stream with some checkpoints of a state with n resources, and the size
// of one checkpoint in bytes.
func writtenStream(tb testing.TB, resources, checkpoints int) (*memlog.Service, *memlog.Stream, uint64) {
	svc, stream := newStream()
	st := stateAt(resources)
	for range checkpoints {
		if err := NewWriter(stream, "host-1", options()).Write(tb.Context(), st); err != nil {
			tb.Fatal(err)
		}
	}
	return svc, stream, svc.Counters().BytesIn / uint64(checkpoints)
}

func BenchmarkWrite(b *testing.B) {
	for _, n := range sizes {
		st := stateAt(n)
		_, stream, size := writtenStream(b, n, 1)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := NewWriter(stream, "host-1", options()).Write(b.Context(), st); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "checkpoint-bytes")
		})
	}
}

func BenchmarkLatest(b *testing.B) {
	const retained = 8
	for _, n := range sizes {
		svc, stream, _ := writtenStream(b, n, retained)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			before, runs := svc.Counters().BytesOut, 0
			for b.Loop() {
				if _, err := Latest(b.Context(), stream); err != nil {
					b.Fatal(err)
				}
				runs++
			}
			b.ReportMetric(float64(svc.Counters().BytesOut-before)/float64(runs), "bytes-read")
		})
	}
}

// Limits the bytes that a checkpoint transfers to and from the platform. Latest reads everything
// that the stream retains once and the newest checkpoint a second time.
func TestCheckpointTransferSize(t *testing.T) {
	const resources, retained, maxPartOverhead = 2000, 3, 128
	svc, stream, size := writtenStream(t, resources, retained)
	parts := svc.Counters().Appends / retained
	state := uint64(len(encoded(stateAt(resources))))
	must.LessEq(t, state+parts*maxPartOverhead, size)
	_, err := Latest(t.Context(), stream)
	must.NoError(t, err)
	must.Eq(t, (retained+1)*size, svc.Counters().BytesOut)
}
