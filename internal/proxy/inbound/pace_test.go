package inbound

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/errkind"
)

// Bodies come to a host with a link of 5 Mbit/s. They come in parts of 12.5 ms, two at a
// time, so that a small call waits for no more than that.
func TestPacerTakesTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPacer(5)
		must.Eq(t, 7812, p.part)
		must.True(t, p.paces(60_000))
		must.False(t, p.paces(5_000))
		first, err := p.turn(t.Context())
		must.NoError(t, err)
		second, err := p.turn(t.Context())
		must.NoError(t, err)
		begun := time.Now()
		go func() {
			time.Sleep(time.Millisecond)
			first()
			first()
		}()
		third, err := p.turn(t.Context())
		must.NoError(t, err)
		must.Eq(t, time.Millisecond, time.Since(begun))
		second()
		third()
	})
}

// The sender of a part is silent. Others must not wait until its call's time is up: its
// turn ends by itself.
func TestPacerGoesRoundTheSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPacer(5)
		for range partsAtOnce {
			_, err := p.turn(t.Context())
			must.NoError(t, err)
		}
		begun := time.Now()
		_, err := p.turn(t.Context())
		must.NoError(t, err)
		must.Eq(t, partPatience*partTime, time.Since(begun))
	})
}

// A call whose body would come too late is refused before the link has carried any of
// it, and told when to come back. A link that is not stated refuses nothing.
func TestPacerRefusesWhatTheLinkCannotTake(t *testing.T) {
	p := newPacer(5)
	p.coming.Add(125_000)
	must.Eq(t, 200*time.Millisecond, p.wait())
	must.NoError(t, p.check(0))
	must.NoError(t, p.check(200*time.Millisecond))
	err := p.check(100 * time.Millisecond)
	must.Eq(t, errkind.Overloaded, errkind.Of(err))
	must.Eq(t, 200*time.Millisecond, errkind.RetryAfterOf(err))
	free := newPacer(0)
	free.coming.Add(1 << 30)
	must.NoError(t, free.check(time.Millisecond))
	must.False(t, free.paces(1<<20))
}
