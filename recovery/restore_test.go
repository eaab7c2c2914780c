package recovery

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
)

// restoredLog is a log in epoch 2 that holds one document.
type copyLog struct {
	eventlog.Log
	data []byte
}

var copyEnd = eventlog.At(2, 5)

func (l copyLog) Bounds(context.Context) (eventlog.Bounds, error) {
	return eventlog.Bounds{First: copyEnd - 1, End: copyEnd}, nil
}

func (l copyLog) Read(_ context.Context, from eventlog.Offset, _ int, _ time.Duration) ([]eventlog.Record, error) {
	if from == copyEnd-1 {
		return []eventlog.Record{{Offset: from, Data: l.data}}, nil
	}
	return nil, nil
}

// documentAt returns a document with a version, as a state at an offset and as a record.
func documentAt(t *testing.T, offset eventlog.Offset, version uint64) (*fold.State, []byte) {
	t.Helper()
	data, err := fold.EncodeDocument(&configpb.Document{Version: version, Services: []*configpb.DocumentService{{Name: "s"}}})
	must.NoError(t, err)
	st, err := fold.FromDocument(offset, data)
	must.NoError(t, err)
	return st, data
}

// The log was restored from an older copy. Guards against serving the document in it while a daemon
// has a newer one in force.
func TestRecover_RestoredLogMergesNewerPeerState(t *testing.T) {
	for name, version := range map[string]uint64{"newer": 9, "older": 3} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(0)
			inLog, data := documentAt(t, copyEnd-1, 7)
			w.opts.Config = copyLog{data: data}
			w.opts.LoadCheckpoint = func(context.Context) (*fold.State, error) { return inLog, nil }
			w.opts.Stagger, w.opts.PreferPeers = 0, true
			theirs, _ := documentAt(t, eventlog.At(1, 8), version)
			w.peerWith("a", theirs, theirs.Offset)
			w.peers.known = 20
			res := w.mustServe(t, copyEnd-1, NoProblem)
			must.Eq(t, FromCheckpoint, res.From)
			must.Eq(t, max(version, 7), res.State.Document().GetVersion())
		})
	}
}
