package recovery_test

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/eventlog/memlog"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/recovery"
)

// others implements recovery.Peers for two daemons, one of which lags.
type others struct{ states map[string]*fold.State }

func (o others) Ask(context.Context) recovery.PeerAnswers {
	answers := recovery.PeerAnswers{Known: len(o.states)}
	for host, st := range o.states {
		// Both know that version 2 was in force on this host.
		answers.Answers = append(answers.Answers, recovery.PeerAnswer{Host: host, Position: recovery.PositionOf(st), Floor: 2})
	}
	return answers
}

func (o others) State(_ context.Context, host string) (*fold.State, error) {
	if st := o.states[host]; st != nil {
		return st, nil
	}
	return nil, errors.Newf("host %q is unknown", host)
}

// A daemon restarts while the platform's log is unavailable. It serves the version that was in
// force on its host before, or a later one, and not the older one of a lagging daemon.
func ExampleRecover() {
	svc := memlog.New(memlog.DefaultOptions())
	svc.SetOutage(true)
	old, _, _ := fold.Apply(fold.Empty(), 1, []byte("unreadable records count too"))
	current, _, _ := fold.Apply(old, 2, []byte("and move the version"))

	opts := recovery.DefaultOptions()
	opts.Host = "host-1"
	opts.Peers = others{map[string]*fold.State{"host-2": old, "host-3": current}}
	opts.Config = svc.Stream(eventlog.StreamConfig)
	opts.Checkpoints = svc.Stream(eventlog.StreamCheckpoints)
	r, err := recovery.Recover(context.Background(), opts)
	if err != nil {
		panic(err)
	}
	fmt.Println("version", r.State.Offset, "floor", r.Floor, "from", r.From)
	// Output: version 2 floor 2 from peer
}
