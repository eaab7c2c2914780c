package announce

import (
	"slices"
	"time"
)

// maxEnded bounds the lives remembered of servers that have left or been replaced.
// Announcements of one come late by seconds, replacements seconds apart.
const maxEnded = 64

// life is one life of a backend server: a server that starts again may have the id of
// the one before.
type life struct {
	id string
	// born is the start of the life in Unix milliseconds, by the server's clock; 0 where
	// the server has not told it.
	born int64
}

// lives remembers the lives that have ended, the latest last.
type lives struct{ ended []life }

// has reports whether a life has ended: it or a later one of the same id. A life whose
// start is not known is taken for the one that ended.
func (l *lives) has(other life) bool {
	return slices.ContainsFunc(l.ended, func(e life) bool {
		return e.id == other.id && (other.born == 0 || other.born <= e.born)
	})
}

// end notes that a life has ended. Of one that has not told its start, every life counts
// as ended that began before now: its late announcements tell the start after all, and
// would else bring back a server that has left.
func (l *lives) end(e life, now time.Time) {
	if e.id == "" {
		return
	}
	if e.born == 0 {
		e.born = now.UnixMilli()
	}
	l.ended = slices.DeleteFunc(l.ended, func(o life) bool {
		if o.id != e.id {
			return false
		}
		e.born = max(e.born, o.born)
		return true
	})
	l.ended = append(l.ended, e)
	if len(l.ended) > maxEnded {
		l.ended = l.ended[1:]
	}
}
