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
type restoredLog struct {
	eventlog.Log
	data []byte
}

var restoredEnd = eventlog.MakeOffset(2, 5)

func (l restoredLog) Bounds(context.Context) (eventlog.Bounds, error) {
	return eventlog.Bounds{First: restoredEnd - 1, End: restoredEnd}, nil
}

func (l restoredLog) Read(_ context.Context, from eventlog.Offset, _ int, _ time.Duration) ([]eventlog.Record, error) {
	if from == restoredEnd-1 {
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
			f := newFleet(0)
			inLog, data := documentAt(t, restoredEnd-1, 7)
			f.opts.Config = restoredLog{data: data}
			f.opts.LoadCheckpoint = func(context.Context) (*fold.State, error) { return inLog, nil }
			f.opts.Stagger, f.opts.PreferPeers = 0, true
			theirs, _ := documentAt(t, eventlog.MakeOffset(1, 8), version)
			f.peerWith("a", theirs, theirs.Offset)
			f.peers.known = 20
			res := f.mustServe(t, restoredEnd-1, NoProblem)
			must.Eq(t, FromCheckpoint, res.From)
			must.Eq(t, max(version, 7), res.State.Document().GetVersion())
		})
	}
}
