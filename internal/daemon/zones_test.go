package daemon

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/capacity"
	"github.com/crocuscross/crocuscross/gate"
	"github.com/crocuscross/crocuscross/internal/settings"
)

// newZoneFleet returns daemons in zone "a", the first with a backend server, and that server. spill
// holds the setting load.zone_spill of each daemon.
func newZoneFleet(t *testing.T, spill ...string) (*storeFleet, *server) {
	t.Helper()
	f := newStoreFleet(t, 0)
	change := f.adjustSettings
	f.adjustSettings = func(s *settings.Settings) {
		change(s)
		s.AvailabilityZone, s.Load.ZoneSpill = "a", spill[len(f.daemons)]
	}
	for range spill {
		f.start()
	}
	f.putDocument(1)
	s := newServer(t, "i-1")
	must.Eq(t, http.StatusOK, f.announce(f.daemons[0], s, "ready", 1))
	return f, s
}

// The daemon beside the backend server knows the load of another zone. That load reaches the
// caller's daemon with the answers to calls, together with the load of the server's own zone.
func TestZones_LoadTravelsWithAnswers(t *testing.T) {
	f, s := newZoneFleet(t, settings.On, settings.On)
	server, caller := f.daemons[0], f.daemons[1]
	f.waitServed(caller, s)
	f.eventually("the caller's daemon knows both zones", func() bool {
		server.zones.Observe(capacity.Gate{Service: "signs", AvailabilityZone: "b", Host: "h"}, gate.Load{InUse: 4, Slots: 8}, false)
		_, _ = f.call(caller, http.MethodGet, "/get/x", "")
		view := caller.zones.View("signs")
		own := view.Zone("a")
		other := view.Zone("b")
		return own.Known && own.Use < 0.5 && other.Known && other.Use == 0.5
	})
}

// During a rolling change of the setting, daemons with the setting on and off send calls to each
// other. The one with the setting on learns the load of the gate, which every daemon reports.
func TestZones_MixedSettings(t *testing.T) {
	for _, spill := range [][]string{{settings.On, settings.Off}, {settings.Off, settings.On}} {
		f, s := newZoneFleet(t, spill...)
		f.waitServed(f.daemons[1], s)
		resp, _ := f.call(f.daemons[1], http.MethodPost, "/put/x", "body")
		must.Eq(t, http.StatusOK, resp.StatusCode)
		if spill[1] == settings.Off {
			must.Nil(t, f.daemons[1].zones)
			continue
		}
		known := f.daemons[1].zones.View("signs").Zone("a").Known
		must.True(t, known)
	}
}
