package daemon

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/internal/settings"
)

// With load.speed_placement on, the time that a gate measures for a route must reach the daemon that
// made the call. With it off, the daemon keeps no speed factors.
func TestSpeedPlacement_RouteTimesReachTheSender(t *testing.T) {
	for _, value := range []string{settings.On, settings.Off} {
		f := newStoreFleet(t, 0)
		change := f.adjustSettings
		f.adjustSettings = func(s *settings.Settings) {
			change(s)
			s.Load.SpeedPlacement = value
		}
		f.start()
		f.start()
		f.putDocument(3)
		s := newServer(t, "i-1")
		f.announce(f.daemons[1], s, "ready", 1)
		f.waitServed(f.daemons[1], s)
		f.waitServerKnown(f.daemons[0])
		known := func() bool {
			f.call(f.daemons[0], http.MethodGet, "/get/x", "")
			return len(f.daemons[0].picker.SpeedFactors(10)) > 0
		}
		if value == settings.On {
			f.eventually("the factor of the server is known", known)
			continue
		}
		for range 20 {
			must.False(t, known())
			time.Sleep(10 * time.Millisecond)
		}
	}
}
