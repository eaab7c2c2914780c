package announce

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/internal/answer"
	"github.com/crocuscross/crocuscross/internal/blackboard"
)

const (
	// ServersPath is where a backend server with an id of its own announces itself:
	// PUT and DELETE of ServersPath/ID.
	ServersPath = "/v1/backend-servers"
	paramID     = "id"

	// maxEnded bounds the ids remembered of servers that have left or been
	// replaced. Announcements of one come late by seconds, replacements seconds
	// apart.
	maxEnded = 64
	maxID    = 256
)

// States of a backend server.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// ServerAnnouncement is the body of a PUT on ServersPath/ID. Members that are not
// listed are passed over.
type ServerAnnouncement struct {
	Service string `json:"service"`
	// Address is where the server takes calls, as IP:port.
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	// State is ready or draining.
	State string `json:"state"`
	// WarmUpMs is how much longer the server is slow after its start. It is checked
	// and nothing else: the choice of a server goes by what is seen of it.
	WarmUpMs float64 `json:"warm_up_ms"`
	// Sequence rises with each announcement of one server.
	Sequence uint64 `json:"sequence"`
}

// register takes an announcement. It is acknowledged once the gate acts on it: a
// server that is told that its leaving is known counts on no further calls.
func (c *Controller) register(w http.ResponseWriter, r bunrouter.Request) error {
	id := r.Param(paramID)
	var a ServerAnnouncement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&a); err != nil {
		answer.Write(w, errkind.Wrap(errkind.BadRequest, err, "read announcement"))
		return nil
	}
	if err := c.checkServer(id, a); err != nil {
		c.Logger.Warn("announce: announcement refused", "id", id, "error", err)
		answer.Write(w, err)
		return nil
	}
	c.Board.Local.Update(func(old *blackboard.LocalBackend) *blackboard.LocalBackend {
		return c.registered(old, id, a)
	})
	w.WriteHeader(http.StatusOK)
	return nil
}

// registered returns the backend server after an announcement. One of a server that
// has left or been replaced changes nothing, nor does an older one than was seen: a
// late ready must not take a draining back, nor a server that has crashed the place
// of its successor at the same address.
func (c *Controller) registered(old *blackboard.LocalBackend, id string, a ServerAnnouncement) *blackboard.LocalBackend {
	same := old != nil && old.ID == id
	if c.ended(id) || same && a.Sequence <= old.Sequence {
		c.Logger.Info("announce: late announcement passed over", "id", id, "sequence", a.Sequence, "state", a.State)
		return old
	}
	now := c.Now()
	n := &blackboard.LocalBackend{
		ID: id, Service: a.Service, URL: "http://" + a.Address, Slots: a.Slots, Sequence: a.Sequence,
		Draining: a.State == stateDraining, FirstSeen: now, Expires: now.Add(c.Expires),
	}
	if same {
		n.FirstSeen = old.FirstSeen
	} else {
		if old != nil && old.ID != "" {
			c.end(old.ID)
		}
		c.Logger.Info("announce: backend server announced itself", "id", id, "service", a.Service,
			"slots", a.Slots, "sequence", a.Sequence, "state", a.State)
	}
	if n.Draining && (!same || !old.Draining) {
		c.Logger.Info("announce: backend server drains", "id", id, "service", a.Service, "sequence", a.Sequence)
	}
	return n
}

// deregister takes the word of a server that leaves.
func (c *Controller) deregister(w http.ResponseWriter, r bunrouter.Request) error {
	id := r.Param(paramID)
	c.Board.Local.Update(func(old *blackboard.LocalBackend) *blackboard.LocalBackend {
		c.end(id)
		if old == nil || old.ID != id {
			return old
		}
		c.Logger.Info("announce: backend server left", "id", id, "service", old.Service)
		return &blackboard.LocalBackend{}
	})
	w.WriteHeader(http.StatusOK)
	return nil
}

// Misplaced notes that another server than the one announced answers at its address.
// Nothing is sent there until that one has announced itself.
func (c *Controller) Misplaced(id string) {
	c.Board.Local.Update(func(old *blackboard.LocalBackend) *blackboard.LocalBackend {
		if old == nil || old.ID != id {
			return old
		}
		c.end(id)
		c.Logger.Warn("announce: another backend server has the address", "id", id, "service", old.Service)
		return &blackboard.LocalBackend{}
	})
}

// ended reports whether a server has left or been replaced. It is called within an
// update of the cell, which lets one in at a time.
func (c *Controller) ended(id string) bool { return slices.Contains(c.endedIDs, id) }

func (c *Controller) end(id string) {
	if c.ended(id) {
		return
	}
	c.endedIDs = append(c.endedIDs, id)
	if len(c.endedIDs) > maxEnded {
		c.endedIDs = c.endedIDs[1:]
	}
}

func (c *Controller) checkServer(id string, a ServerAnnouncement) error {
	switch {
	case id == "" || len(id) > maxID:
		return errkind.Newf(errkind.BadRequest, "the id must have 1 to %d bytes", maxID)
	case a.Service == "":
		return errkind.New(errkind.BadRequest, "service is empty")
	case a.Slots < 1 || a.Slots > maxSlots:
		return errkind.Newf(errkind.BadRequest, "slots must be 1 to %d, not %d", maxSlots, a.Slots)
	case a.State != stateReady && a.State != stateDraining:
		return errkind.Newf(errkind.BadRequest, "state must be %s or %s, not %q", stateReady, stateDraining, a.State)
	case a.WarmUpMs < 0 || a.WarmUpMs > float64(time.Hour/time.Millisecond):
		return errkind.Newf(errkind.BadRequest, "warm_up_ms is out of range: %g", a.WarmUpMs)
	}
	return c.checkAddress(a.Address)
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
