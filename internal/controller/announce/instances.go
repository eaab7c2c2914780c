package announce

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocuscross/crocuscross/membership"
)

// maxEndedInstances limits how many ended instances are remembered. Their announcements arrive
// late by seconds, and replacements are seconds apart.
const maxEndedInstances = 64

// instance is one run of a backend server. A restarted server may reuse the ID of its
// predecessor.
type instance struct {
	id string
	// startUnixMs is when the run began, in Unix milliseconds by the server's clock, 0 if the
	// server has not stated it.
	startUnixMs int64
}

// endedInstances remembers the instances that have been withdrawn or replaced, the latest last.
type endedInstances struct {
	list []instance
	// inherited lists those that ended beside earlier processes of the daemon.
	inherited []membership.EndedServer
}

// contains reports whether an instance, or a later one with the same ID, has ended. An instance
// with an unknown start is assumed to be the one that ended.
func (l *endedInstances) contains(other instance) bool {
	id := xxhash.Sum64String(other.id)
	return slices.ContainsFunc(l.all(), func(e membership.EndedServer) bool {
		return e.ID == id && (other.startUnixMs == 0 || other.startUnixMs <= e.StartUnixMs)
	})
}

// all returns all ended instances, the latest last.
func (l *endedInstances) all() []membership.EndedServer {
	all := slices.Clone(l.inherited)
	for _, e := range l.list {
		all = append(all, membership.EndedServer{ID: xxhash.Sum64String(e.id), StartUnixMs: e.startUnixMs})
	}
	return all
}

// add records that an instance has ended. If its start is unknown, every instance with its ID
// that started before now counts as ended: late announcements of the instance do state its
// start, and would otherwise bring back a server that has been withdrawn.
func (l *endedInstances) add(e instance, now time.Time) {
	if e.id == "" {
		return
	}
	if e.startUnixMs == 0 {
		e.startUnixMs = now.UnixMilli()
	}
	l.list = slices.DeleteFunc(l.list, func(o instance) bool {
		if o.id != e.id {
			return false
		}
		e.startUnixMs = max(e.startUnixMs, o.startUnixMs)
		return true
	})
	l.list = append(l.list, e)
	if len(l.list) > maxEndedInstances {
		l.list = l.list[1:]
	}
}
