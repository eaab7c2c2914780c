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

// endedInstances lists the instances that have been withdrawn or replaced, here or beside earlier
// processes of the daemon, the latest last.
type endedInstances []membership.EndedServer

// contains reports whether an instance, or a later one with the same ID, has ended. An instance
// with an unknown start is assumed to be the one that ended.
func (l endedInstances) contains(other instance) bool {
	id := xxhash.Sum64String(other.id)
	return slices.ContainsFunc(l, func(e membership.EndedServer) bool {
		return e.ID == id && (other.startUnixMs == 0 || other.startUnixMs <= e.StartUnixMs)
	})
}

// add records that an instance has ended. If its start is unknown, every instance with its ID
// that started before now counts as ended: late announcements of the instance do state its
// start, and would otherwise bring back a server that has been withdrawn.
func (l *endedInstances) add(i instance, now time.Time) {
	if i.id == "" {
		return
	}
	if i.startUnixMs == 0 {
		i.startUnixMs = now.UnixMilli()
	}
	l.merge(membership.EndedServer{ID: xxhash.Sum64String(i.id), StartUnixMs: i.startUnixMs})
}

// merge adds an ended instance as the latest one, with the latest start that is known to have ended.
func (l *endedInstances) merge(e membership.EndedServer) {
	rest := slices.DeleteFunc(slices.Clone(*l), func(o membership.EndedServer) bool {
		if o.ID != e.ID {
			return false
		}
		e.StartUnixMs = max(e.StartUnixMs, o.StartUnixMs)
		return true
	})
	*l = append(rest, e)
	if len(*l) > maxEndedInstances {
		*l = (*l)[1:]
	}
}
