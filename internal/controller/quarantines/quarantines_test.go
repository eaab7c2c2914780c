package quarantines

import (
	"log/slog"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/platform"
	"github.com/crocuscross/crocuscross/platform/storetest"
	"github.com/crocuscross/crocuscross/quarantine"
)

// newControllers returns two controllers and their store.
func newControllers(t *testing.T) (a, b *Controller, s *storetest.Server) {
	s = storetest.New()
	t.Cleanup(s.Close)
	var list []*Controller
	for range 2 {
		adapter := platform.New(s.Address(), slog.New(slog.DiscardHandler), platform.NoMeter{})
		list = append(list, New(Options{Directory: adapter.Contacts, Logger: slog.New(slog.DiscardHandler), Now: time.Now}))
	}
	return list[0], list[1], s
}

// storedUntil returns the ends of the stored verdicts.
func storedUntil(t *testing.T, c *Controller) []time.Time {
	values, err := c.opts.Directory.List(t.Context())
	must.NoError(t, err)
	var ends []time.Time
	for _, value := range values {
		v, ok := quarantine.DecodeEntry(value)
		must.True(t, ok)
		ends = append(ends, v.Until)
	}
	return ends
}

// Guards against a request that crashes servers again after a power loss of the fleet: the store executes the
// removal of its ended verdict after another daemon has stored a new one.
func TestController_LateRemovalKeepsNewerVerdict(t *testing.T) {
	a, b, s := newControllers(t)
	old := quarantine.Verdict{Identity: quarantine.Identity{1}, Until: time.Unix(1000, 0)}
	newer := quarantine.Verdict{Identity: old.Identity, Until: time.Unix(2000, 0)}
	must.True(t, a.put(t.Context(), old))
	s.SetFault(storetest.LateAppend)
	must.False(t, a.remove(t.Context(), old.Identity, old.Until))
	s.SetFault(storetest.None)
	must.True(t, b.put(t.Context(), newer))
	s.PerformLate()
	must.Eq(t, []time.Time{newer.Until}, storedUntil(t, a))
	must.True(t, a.remove(t.Context(), old.Identity, old.Until))
	must.Eq(t, []time.Time{newer.Until}, storedUntil(t, a))
}

// Guards against a verdict that ends too soon after a power loss of the fleet: the store executes the write of
// an earlier verdict on the request after that of the later one.
func TestController_LateVerdictKeepsNewerOne(t *testing.T) {
	a, b, s := newControllers(t)
	old := quarantine.Verdict{Identity: quarantine.Identity{1}, Until: time.Unix(1000, 0)}
	newer := quarantine.Verdict{Identity: old.Identity, Until: time.Unix(2000, 0)}
	s.SetFault(storetest.LateAppend)
	must.False(t, a.put(t.Context(), old))
	s.SetFault(storetest.None)
	must.True(t, b.put(t.Context(), newer))
	s.PerformLate()
	must.Eq(t, []time.Time{newer.Until}, storedUntil(t, a))
	must.True(t, a.put(t.Context(), old))
	must.Eq(t, []time.Time{newer.Until}, storedUntil(t, a))
	must.True(t, b.remove(t.Context(), newer.Identity, newer.Until))
	must.SliceEmpty(t, storedUntil(t, a))
}
