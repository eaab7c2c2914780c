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
	// ServersPath is where a backend server with an id of its own announces itself:
	// PUT and DELETE of ServersPath/ID.
	ServersPath = "/v1/backend-servers"
	paramID     = "id"

	maxID = 256
	// maxBorn bounds the start of a life, in Unix milliseconds: the year 5138, beyond
	// which a number is no time.
	maxBorn = 100_000_000_000_000
)

// States of a backend server.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// ServerAnnouncement is the body of a PUT on ServersPath/ID. Members that are not
// listed are passed over. Other writers' announcements may lack any of them.
type ServerAnnouncement struct {
	Service string `json:"service"`
	// Address is where the server takes calls, as IP:port.
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	// State is ready or draining.
	State string `json:"state"`
	// AvailabilityZone is only checked: what counts is where the daemon is.
	AvailabilityZone string `json:"availability_zone"`
	// Version of the server's program.
	Version string `json:"version"`
	// WarmUpMs is how much longer the server is slow after its start. Rollouts do not hold
	// that against its version; the choice of a server goes by what is seen of it.
	WarmUpMs float64 `json:"warm_up_ms"`
	// Sequence rises with each announcement of one life of the server.
	Sequence *uint64 `json:"sequence"`
	// StartUnixMs is the start of this life in Unix milliseconds, 0 where the server does not
	// tell it. A server may start again under the id that it had.
	StartUnixMs int64 `json:"born"`
}

// withdrawal is the body of a DELETE on ServersPath/ID; it may be empty.
type withdrawal struct {
	// Born is the start of the life that ends, 0 for the one that is known.
	Born int64 `json:"born"`
}

// register takes an announcement. It is acknowledged once the gate acts on it: a
// server that is told that its leaving is known counts on no further calls.
func (c *Controller) register(w http.ResponseWriter, r bunrouter.Request) error {
	id := r.Param(paramID)
	var a ServerAnnouncement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&a); err != nil {
		c.refuse(w, id, errkind.Wrap(errkind.BadRequest, err, "read announcement"))
		return nil
	}
	if err := c.checkServer(id, a); err != nil {
		c.refuse(w, id, err)
		return nil
	}
	c.Board.Local.Update(func(old *blackboard.LocalBackend) *blackboard.LocalBackend {
		return c.registered(old, id, a)
	})
	w.WriteHeader(http.StatusOK)
	return nil
}

// refuse answers an announcement that names no server to use. What is known stays.
func (c *Controller) refuse(w http.ResponseWriter, id string, err error) {
	if c.RejectionLogLimit.Allow() {
		c.Logger.Warn("announce: announcement refused", "id", id[:min(len(id), maxID)], "error", err)
	}
	answer.Write(w, err)
}

// registered returns the backend server after an announcement. One of a life that has
// left or been replaced changes nothing, nor does an older one than was seen: a late
// ready must not take a draining back, nor a server that has crashed the place of its
// successor at the same address or under the same id.
func (c *Controller) registered(old *blackboard.LocalBackend, id string, a ServerAnnouncement) *blackboard.LocalBackend {
	sequence := *a.Sequence
	same := sameLife(old, id, a.StartUnixMs)
	if c.lives.has(life{id, a.StartUnixMs}) || isEarlierLife(old, id, a.StartUnixMs) || same && sequence <= old.Sequence {
		c.Logger.Info("announce: late announcement passed over", "id", id, "born", a.StartUnixMs, "sequence", sequence, "state", a.State)
		return old
	}
	now := c.Now()
	n := &blackboard.LocalBackend{
		ID: id, StartUnixMs: a.StartUnixMs, Service: a.Service, URL: "http://" + a.Address, Slots: a.Slots, Sequence: sequence,
		Draining: a.State == stateDraining, FirstSeen: now, Expires: now.Add(c.ServerTTL),
		Version: a.Version, WarmAt: now.Add(time.Duration(a.WarmUpMs * float64(time.Millisecond))),
	}
	if same {
		n.FirstSeen = old.FirstSeen
		n.StartUnixMs = max(old.StartUnixMs, a.StartUnixMs)
	} else {
		c.replace(old)
		c.Logger.Info("announce: backend server announced itself", "id", id, "born", a.StartUnixMs, "service", a.Service,
			"slots", a.Slots, "sequence", sequence, "state", a.State)
	}
	if n.Draining && (!same || !old.Draining) {
		c.Logger.Info("announce: backend server drains", "id", id, "service", a.Service, "sequence", sequence)
	}
	return n
}

// sameLife reports whether an announcement is of the life that is known. One of the two
// may lack its start: a server found by a question has not told it yet.
func sameLife(old *blackboard.LocalBackend, id string, born int64) bool {
	return old != nil && old.ID == id && (old.StartUnixMs == born || old.StartUnixMs == 0 || born == 0)
}

func isEarlierLife(old *blackboard.LocalBackend, id string, born int64) bool {
	return old != nil && old.ID == id && born != 0 && born < old.StartUnixMs
}

// replace notes that another life has taken the place of a known one.
func (c *Controller) replace(old *blackboard.LocalBackend) {
	if old != nil {
		c.lives.end(life{old.ID, old.StartUnixMs}, c.Now())
	}
}

// deregister takes the word of a server that leaves.
func (c *Controller) deregister(w http.ResponseWriter, r bunrouter.Request) error {
	id := r.Param(paramID)
	born, err := withdrawnLife(w, r.Request)
	if err != nil {
		c.refuse(w, id, err)
		return nil
	}
	c.Board.Local.Update(func(old *blackboard.LocalBackend) *blackboard.LocalBackend {
		return c.deregistered(old, life{id, born})
	})
	w.WriteHeader(http.StatusOK)
	return nil
}

// withdrawnLife returns the start of the life that a DELETE is about, 0 where it does
// not say.
func withdrawnLife(w http.ResponseWriter, r *http.Request) (int64, error) {
	var d withdrawal
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&d)
	if err != nil && !errors.Is(err, io.EOF) {
		return 0, errkind.Wrap(errkind.BadRequest, err, "read withdrawal")
	}
	return d.Born, checkBorn(d.Born)
}

// deregistered returns the backend server after one has left: none, or the one that is
// known where the word is of another life.
func (c *Controller) deregistered(old *blackboard.LocalBackend, l life) *blackboard.LocalBackend {
	if old == nil || old.ID != l.id || isEarlierLife(old, l.id, l.born) {
		c.lives.end(l, c.Now())
		return old
	}
	l.born = max(l.born, old.StartUnixMs)
	c.lives.end(l, c.Now())
	c.Logger.Info("announce: backend server left", "id", l.id, "born", l.born, "service", old.Service)
	return &blackboard.LocalBackend{}
}

// HandleServerMismatch notes that another server than the one announced answers at its address.
// Nothing is sent there until that one has announced itself.
func (c *Controller) HandleServerMismatch(id string) {
	c.Board.Local.Update(func(old *blackboard.LocalBackend) *blackboard.LocalBackend {
		if old == nil || old.ID != id {
			return old
		}
		c.replace(old)
		c.Logger.Warn("announce: another backend server has the address", "id", id, "service", old.Service)
		return &blackboard.LocalBackend{}
	})
}

func (c *Controller) checkServer(id string, a ServerAnnouncement) error {
	switch {
	case id == "" || len(id) > maxID:
		return errkind.Newf(errkind.BadRequest, "the id must have 1 to %d bytes", maxID)
	case a.Service == "":
		return errkind.New(errkind.BadRequest, "service is empty")
	case !c.knowsService(id, a.Service):
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
	if err := checkBorn(a.StartUnixMs); err != nil {
		return err
	}
	return c.checkAddress(a.Address)
}

func checkBorn(born int64) error {
	if born < 0 || born > maxBorn {
		return errkind.Newf(errkind.BadRequest, "born is out of range: %d", born)
	}
	return nil
}

// knowsService reports whether an announcement may name a service: one of the
// configuration in force, this host's own, or that of the server which is known already.
// Without the check an announcement with a made-up service would take the place of the
// server that is there, and that one's own would be passed over from then on.
func (c *Controller) knowsService(id, service string) bool {
	if local := c.Board.Local.Load(); local != nil && local.ID == id && local.Service == service {
		return true
	}
	snap := c.Board.Snapshot.Load()
	if snap == nil || snap.Document() == nil || service == c.Service {
		return true
	}
	return snap.Document().HasService(service)
}

// checkAddress lets through only the address that the settings name and loopback
// ones: the daemon must not be made to send calls to another host, past that host's
// gate.
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
