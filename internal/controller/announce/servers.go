package announce

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uptrace/bunrouter"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/answer"
	"github.com/crocuscross/crocuscross/internal/blackboard"
)

const (
	// ServersPath is the HTTP path for announcements of servers with an ID: PUT and DELETE on
	// ServersPath/ID.
	ServersPath = "/v1/backend-servers"
	paramID     = "id"

	maxID = 256
	// maxStartUnixMs bounds the start of an instance, in Unix milliseconds. It is in the year
	// 5138; a greater number cannot be a time.
	maxStartUnixMs = 100_000_000_000_000
)

// The states of a backend server.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// ServerAnnouncement is the JSON body of a PUT on ServersPath/ID. Unknown members are ignored.
// Announcements by other clients may lack any member.
type ServerAnnouncement struct {
	Service string `json:"service"`
	// Address is where the server accepts calls, as IP:port.
	Address string `json:"address"`
	// Slots is the number of calls that the server runs concurrently.
	Slots int `json:"slots"`
	// State is "ready" or "draining".
	State string `json:"state"`
	// AvailabilityZone is checked for its type but not used: the daemon's own zone applies.
	AvailabilityZone string `json:"availability_zone"`
	// Version is the version of the server's program.
	Version string `json:"version"`
	// WarmUpMs is how much longer the server is slow after its start, in milliseconds. Rollouts
	// do not count this slowness against the server's version; the choice of a server depends on
	// its measured performance.
	WarmUpMs float64 `json:"warm_up_ms"`
	// Sequence increases with each announcement of an instance. It is nil if the member is
	// missing.
	Sequence *uint64 `json:"sequence"`
	// StartUnixMs is the start of the instance in Unix milliseconds, 0 if the server does not
	// state it. A restarted server may reuse its ID.
	StartUnixMs int64 `json:"born"`
}

// withdrawal is the JSON body of a DELETE on ServersPath/ID, which may be empty.
type withdrawal struct {
	// StartUnixMs is the start of the instance that ends, 0 for the known instance.
	StartUnixMs int64 `json:"born"`
}

// register handles a PUT. It responds only once the gate acts on the announcement: a server that
// receives the response to its draining announcement expects no further calls.
func (c *Controller) register(w http.ResponseWriter, r bunrouter.Request) error {
	id := r.Param(paramID)
	var a ServerAnnouncement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&a); err != nil {
		c.reject(w, id, errkind.Wrap(errkind.BadRequest, err, "decode announcement"))
		return nil
	}
	if err := c.checkServer(id, a); err != nil {
		c.reject(w, id, err)
		return nil
	}
	c.inheritEnded()
	if c.admit(r.Context(), id, a) {
		c.acceptServerAnnouncement(id, a)
	}
	w.WriteHeader(http.StatusOK)
	return nil
}

func (c *Controller) acceptServerAnnouncement(id string, a ServerAnnouncement) {
	c.Board.Local.Update(func(old *blackboard.LocalBackend) *blackboard.LocalBackend {
		return c.applyServerAnnouncement(old, id, a)
	})
}

// reject answers an invalid request. The known server stays as it is.
func (c *Controller) reject(w http.ResponseWriter, id string, err error) {
	if c.RejectionLogLimit.Allow() {
		c.Logger.Warn("announce: announcement rejected", "id", id[:min(len(id), maxID)], "error", err)
	}
	answer.Write(w, err)
}

// applyServerAnnouncement returns the server state after an announcement. Announcements of an
// instance that has ended, and those that are not newer than the latest one, change nothing: a
// late "ready" must not undo a drain, and a crashed server must not replace its successor at the
// same address or with the same ID.
func (c *Controller) applyServerAnnouncement(old *blackboard.LocalBackend, id string, a ServerAnnouncement) *blackboard.LocalBackend {
	sequence := *a.Sequence
	same := isSameInstance(old, id, a.StartUnixMs)
	if c.ended.contains(instance{id, a.StartUnixMs}) || isEarlierInstance(old, id, a.StartUnixMs) || same && sequence <= old.Sequence {
		c.Logger.Info("announce: late announcement ignored", "id", id, "born", a.StartUnixMs, "sequence", sequence, "state", a.State)
		return old
	}
	now := c.Now()
	n := &blackboard.LocalBackend{
		ID: id, StartUnixMs: a.StartUnixMs, Service: a.Service, URL: "http://" + a.Address, Slots: a.Slots, Sequence: sequence,
		Draining: a.State == stateDraining, FirstSeen: now, Expires: now.Add(c.ServerTTL),
		Version: a.Version, WarmAt: now.Add(time.Duration(a.WarmUpMs * float64(time.Millisecond))),
	}
	if same {
		n.Leaving = old.Leaving
		n.Draining = n.Draining || old.Leaving
		n.FirstSeen = old.FirstSeen
		n.StartUnixMs = max(old.StartUnixMs, a.StartUnixMs)
	} else {
		c.markEnded(old)
		c.Logger.Info("announce: backend server announced itself", "id", id, "born", a.StartUnixMs, "service", a.Service,
			"slots", a.Slots, "sequence", sequence, "state", a.State)
	}
	if n.Draining && (!same || !old.Draining) {
		c.Logger.Info("announce: backend server is draining", "id", id, "service", a.Service, "sequence", sequence)
	}
	return n
}

// isSameInstance reports whether an announcement is from the known instance. One of the two may
// lack a start: a discovered server has not stated it yet.
func isSameInstance(old *blackboard.LocalBackend, id string, startUnixMs int64) bool {
	return old != nil && old.ID == id && (old.StartUnixMs == startUnixMs || old.StartUnixMs == 0 || startUnixMs == 0)
}

// isEarlierInstance reports whether an announcement is from an instance that started before the
// known one with the same ID.
func isEarlierInstance(old *blackboard.LocalBackend, id string, startUnixMs int64) bool {
	return old != nil && old.ID == id && startUnixMs != 0 && startUnixMs < old.StartUnixMs
}

// markEnded records that another instance has replaced a known one, if there was one.
func (c *Controller) markEnded(old *blackboard.LocalBackend) {
	if old != nil {
		c.addEnded(instance{old.ID, old.StartUnixMs})
	}
}

// addEnded records that an instance has ended, here and with the other daemons.
func (c *Controller) addEnded(e instance) {
	c.ended.add(e, c.Now())
	if c.Predecessors != nil {
		c.Predecessors.SetEndedServers(c.ended)
	}
}

// deregister handles a DELETE, which a server sends when it shuts down.
func (c *Controller) deregister(w http.ResponseWriter, r bunrouter.Request) error {
	id := r.Param(paramID)
	startUnixMs, err := decodeWithdrawal(w, r.Request)
	if err != nil {
		c.reject(w, id, err)
		return nil
	}
	c.Board.Local.Update(func(old *blackboard.LocalBackend) *blackboard.LocalBackend {
		return c.applyWithdrawal(old, instance{id, startUnixMs})
	})
	w.WriteHeader(http.StatusOK)
	return nil
}

// decodeWithdrawal returns the start of the instance that a DELETE names, 0 if it names none.
func decodeWithdrawal(w http.ResponseWriter, r *http.Request) (int64, error) {
	var d withdrawal
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&d)
	if err != nil && !errors.Is(err, io.EOF) {
		return 0, errkind.Wrap(errkind.BadRequest, err, "decode withdrawal")
	}
	return d.StartUnixMs, checkStart(d.StartUnixMs)
}

// applyWithdrawal returns the server state after a withdrawal: empty, or the known state if the
// withdrawal is from another instance.
func (c *Controller) applyWithdrawal(old *blackboard.LocalBackend, l instance) *blackboard.LocalBackend {
	if old == nil || old.ID != l.id || isEarlierInstance(old, l.id, l.startUnixMs) {
		c.addEnded(l)
		return old
	}
	l.startUnixMs = max(l.startUnixMs, old.StartUnixMs)
	c.addEnded(l)
	c.Logger.Info("announce: backend server left", "id", l.id, "born", l.startUnixMs, "service", old.Service)
	return &blackboard.LocalBackend{}
}

// HandleServerMismatch records that the server at the announced address is not the one with the
// given ID. No calls are sent there until that other server has announced itself.
func (c *Controller) HandleServerMismatch(id string) {
	c.Board.Local.Update(func(old *blackboard.LocalBackend) *blackboard.LocalBackend {
		if old == nil || old.ID != id {
			return old
		}
		c.markEnded(old)
		c.Logger.Warn("announce: another backend server uses the address", "id", id, "service", old.Service)
		return &blackboard.LocalBackend{}
	})
}

// HandleServerLeaving records that the server with the given ID has stated in a response that it is
// about to exit. It counts as draining from then on, whatever it announces.
func (c *Controller) HandleServerLeaving(id string) {
	c.Board.Local.Update(func(old *blackboard.LocalBackend) *blackboard.LocalBackend {
		if old == nil || old.ID != id || old.Leaving {
			return old
		}
		c.Logger.Info("announce: backend server is leaving", "id", id, "service", old.Service, "draining", old.Draining)
		n := *old
		n.Leaving, n.Draining = true, true
		return &n
	})
}

func (c *Controller) checkServer(id string, a ServerAnnouncement) error {
	switch {
	case id == "" || len(id) > maxID:
		return errkind.Newf(errkind.BadRequest, "id must have 1 to %d bytes", maxID)
	case a.Service == "":
		return errkind.New(errkind.BadRequest, "service is empty")
	case !c.isKnownService(id, a.Service):
		return errkind.Newf(errkind.BadRequest, "service %q is not in the configuration in force", a.Service)
	case a.Sequence == nil:
		return errkind.New(errkind.BadRequest, "sequence is missing")
	case a.Slots < 1 || a.Slots > maxSlots:
		return errkind.Newf(errkind.BadRequest, "slots must be 1 to %d, not %d", maxSlots, a.Slots)
	case a.State != stateReady && a.State != stateDraining:
		return errkind.Newf(errkind.BadRequest, "state must be %s or %s, not %q", stateReady, stateDraining, a.State)
	case len(a.Version) > fold.MaxVersionBytes:
		return errkind.Newf(errkind.BadRequest, "version must have at most %d bytes", fold.MaxVersionBytes)
	case a.WarmUpMs < 0 || a.WarmUpMs > float64(time.Hour/time.Millisecond):
		return errkind.Newf(errkind.BadRequest, "warm_up_ms is out of range: %g", a.WarmUpMs)
	}
	if err := checkStart(a.StartUnixMs); err != nil {
		return err
	}
	return c.checkAddress(a.Address)
}

func checkStart(startUnixMs int64) error {
	if startUnixMs < 0 || startUnixMs > maxStartUnixMs {
		return errkind.Newf(errkind.BadRequest, "born is out of range: %d", startUnixMs)
	}
	return nil
}

// isKnownService reports whether an announcement may name a service: one in the configuration in
// force, the one in this host's settings, or that of the known server. Without this check, an
// announcement with a nonexistent service would replace the running server, whose own
// announcements would then be ignored.
func (c *Controller) isKnownService(id, service string) bool {
	if local := c.Board.Local.Load(); local != nil && local.ID == id && local.Service == service {
		return true
	}
	snap := c.Board.Snapshot.Load()
	if snap == nil || snap.Document() == nil || service == c.Service {
		return true
	}
	return snap.Document().HasService(service)
}

// checkAddress accepts only the address in the settings and loopback addresses: the daemon must
// not be made to send calls to another host, bypassing that host's gate.
func (c *Controller) checkAddress(address string) error {
	if address == c.Address && address != "" {
		return nil
	}
	ap, err := netip.ParseAddrPort(address)
	if err != nil || !ap.Addr().IsLoopback() {
		return errkind.Newf(errkind.BadRequest, "address must be %q or a loopback IP and port, not %q", c.Address, address)
	}
	return nil
}
