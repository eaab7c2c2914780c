package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/quota/quotapb"
	"github.com/crocuscross/crocuscross/snapshot"
)

// settlingLedger is a ledger that has just begun to settle, in a fleet of the given number of daemons.
type settlingLedger struct {
	*ledger
	fleet *fleet
	ids   []holderID
}

func newSettlingLedger(daemons int) *settlingLedger {
	view := &membership.View{}
	for i := range daemons {
		view.Members = append(view.Members, &membership.Member{Host: fmt.Sprint("h", i), Boot: 1, Region: "r", Liveness: membership.Alive})
	}
	view.Self = view.Members[0]
	opts := DefaultOptions().withDefaults()
	f := newFleet(view, time.Now(), 0, nil, opts)
	contract := &snapshot.Contract{Customer: "c", Rate: 100, Burst: 100}
	return &settlingLedger{ledger: newLedger(opts, contract, opts.settleTime(), 0), fleet: f, ids: f.reachable}
}

// claimFrom makes an empty claim of a daemon, and applies it to the settling state.
func (l *settlingLedger) claimFrom(id holderID, sequence uint64, now time.Duration) {
	l.claim(now, l.fleet, id, sequence, &quotapb.Claim{Customer: "c"})
	l.advance(now, l.fleet)
}

// After a restart of all daemons nearly all calls were rejected until the whole settling time had
// passed, although nobody held anything.
func TestLedger_OpensOnceAllDaemonsHaveClaimed(t *testing.T) {
	l := newSettlingLedger(4)
	for _, id := range l.ids {
		l.claimFrom(id, 1, 300*time.Millisecond)
	}
	must.False(t, l.open, must.Sprint("the view of the fleet may still grow"))
	l.claimFrom(l.ids[0], 2, minSettleTime)
	must.True(t, l.open)
}

// A daemon that has not claimed may hold the whole contract of an earlier owner.
func TestLedger_SettlesWhileADaemonHasNotClaimed(t *testing.T) {
	l := newSettlingLedger(4)
	for _, id := range l.ids[1:] {
		l.claimFrom(id, 1, 2*minSettleTime)
	}
	must.False(t, l.open)
	l.claimFrom(l.ids[1], 2, l.opts.settleTime())
	must.True(t, l.open)
}

// A claim from before the ledger settles again says nothing about what another owner has granted since.
func TestLedger_ClaimsBeforeSettlingDoNotCount(t *testing.T) {
	l := newSettlingLedger(2)
	for _, id := range l.ids {
		l.claimFrom(id, 1, 2*minSettleTime)
	}
	must.True(t, l.open)
	now := 3 * minSettleTime
	l.settle(now+l.opts.settleTime(), now)
	now += 2 * minSettleTime
	l.claimFrom(l.ids[0], 2, now)
	must.False(t, l.open)
	l.claimFrom(l.ids[1], 2, now)
	must.True(t, l.open)
}

// A daemon that has just started learns of the others one after another. It must not grant a whole
// contract while it knows only a few of them.
func TestLedger_SettlesWhileTheFleetGrows(t *testing.T) {
	l := newSettlingLedger(2)
	for _, id := range l.ids {
		l.claimFrom(id, 1, minSettleTime/2)
	}
	grown := *l.fleet.view
	grown.Members = append(grown.Members, &membership.Member{Host: "new", Boot: 1, Region: "r", Liveness: membership.Alive})
	l.fleet = newFleet(&grown, l.fleet.start, minSettleTime/2, l.fleet, l.opts)
	l.claimFrom(l.fleet.reachable[2], 1, minSettleTime)
	must.False(t, l.open)
	l.claimFrom(l.fleet.reachable[2], 2, minSettleTime+minSettleTime/2)
	must.True(t, l.open)
}

// All daemons restart at once. The owner of an account admits its calls again before the settling time
// has passed, as daemons without calls report as well.
func TestLimit_AllDaemonsRestarted(t *testing.T) {
	l := runLimitLoad(1, func(l *limitLoad) {
		l.calm()
		l.w.at(20*time.Second, func() {
			for _, d := range l.w.daemons {
				l.w.kill(d)
			}
			l.w.after(time.Second, func() {
				for _, d := range l.w.daemons {
					l.w.restart(d, l.contracts()...)
				}
			})
		})
	})
	due, missing := 0, 0
	for _, a := range l.accounts[:3] {
		d, m := l.missing(a, 24*time.Second, limitEnd)
		due, missing = due+d, missing+m
	}
	must.LessEq(t, due/200, missing, must.Sprintf("%d of %d calls below the limit rejected", missing, due))
}
