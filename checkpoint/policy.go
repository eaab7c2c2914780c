package checkpoint

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocuscross/crocuscross/eventlog"
)

// Reason is the reason why a checkpoint is due.
type Reason string

// The reasons, the most urgent first.
const (
	// ReasonNone means that no checkpoint is due.
	ReasonNone Reason = ""
	// ReasonTail means that the log has dropped records after the newest checkpoint. Until the
	// next checkpoint, the state exists only in the memory of the daemons.
	ReasonTail Reason = "the log has dropped records that no checkpoint covers"
	// ReasonRetention means that the oldest record after the newest checkpoint is in the older
	// half of the retained log.
	ReasonRetention Reason = "records that no checkpoint covers are halfway to being dropped"
	// ReasonRecords means that a starting daemon has to read many records.
	ReasonRecords Reason = "many records have followed the last checkpoint"
	// ReasonAge means that the newest checkpoint, or the records after it, may have reached half
	// of their retention.
	ReasonAge Reason = "the last checkpoint is old"
)

// Policy determines when a checkpoint is due and when each host writes it. Any daemon may write a
// checkpoint at any time, so hosts need not agree: the delays only make duplicates rare.
type Policy struct {
	// EveryRecords is the number of records after the newest checkpoint at which the next one is
	// due.
	EveryRecords uint64
	// MaxAge is the age of the newest checkpoint at which the next one is due. The log does not
	// report the age of records, so MaxAge must be well under half of the platform's retention.
	MaxAge time.Duration
	// MinInterval is the minimum time between two checkpoints, unless the log has already dropped
	// records after the newest one.
	MinInterval time.Duration
	// Candidates is the number of live daemons that read the checkpoint stream. It limits the
	// read load on the platform regardless of the fleet size.
	Candidates int
	// TurnLength is the delay between two consecutive candidates: each one writes only if those
	// before it have not.
	TurnLength time.Duration
}

const (
	// With a new checkpoint after each quarter of the retention, the writes of two further
	// quarters may fail before the last checkpoint is lost.
	maxAgesPerRetention = 4
	// minIntervalsPerMaxAge prevents a burst of changes from filling the stream, which every
	// daemon that starts without peers reads.
	minIntervalsPerMaxAge = 12
	// turnsPerMaxAge is large enough that all candidates have had their turn long before the next
	// checkpoint is due.
	turnsPerMaxAge = 360
)

// PolicyFor returns the policy for a platform that retains records for the given time.
func PolicyFor(retention time.Duration) Policy {
	maxAge := retention / maxAgesPerRetention
	return Policy{
		EveryRecords: 500,
		MaxAge:       maxAge,
		MinInterval:  maxAge / minIntervalsPerMaxAge,
		Candidates:   4,
		TurnLength:   maxAge / turnsPerMaxAge,
	}
}

// KnownCheckpoint describes the newest complete checkpoint that a daemon knows of.
type KnownCheckpoint struct {
	// Offset is the offset of the state.
	Offset uint64
	// Age is the time since the daemon first saw the checkpoint.
	Age time.Duration
	// AgeKnown is false if the checkpoint already existed when the daemon first read the stream.
	// Half of MaxAge is then added to its age. Otherwise a fleet whose daemons are all replaced
	// within MaxAge would never write a checkpoint.
	AgeKnown bool
}

// PolicyInput is the input of Policy.Due.
type PolicyInput struct {
	// Offset is the offset of the state that the daemon could write.
	Offset uint64
	// Config is the range of records that the configuration stream retains.
	Config eventlog.Bounds
	// Newest is the newest complete checkpoint, nil if the stream has none.
	Newest *KnownCheckpoint
}

// Due returns the reason why a checkpoint is due, ReasonNone if none is due. A daemon whose state
// is older than the newest checkpoint writes none.
func (p Policy) Due(s PolicyInput) Reason {
	covered, age := uint64(0), p.MaxAge
	if s.Newest != nil {
		covered, age = s.Newest.Offset, p.effectiveAge(*s.Newest)
	}
	if s.Offset == 0 || s.Offset < covered {
		return ReasonNone
	}
	needed := covered + 1
	switch {
	case needed < s.Config.First && s.Offset > covered:
		return ReasonTail
	case age >= p.MaxAge:
		return ReasonAge
	case age < p.MinInterval:
		return ReasonNone
	case s.Offset > covered && inOlderHalf(needed, s.Config):
		return ReasonRetention
	case s.Offset-covered >= p.EveryRecords:
		return ReasonRecords
	}
	return ReasonNone
}

// effectiveAge returns the age of a checkpoint, with half of MaxAge added if the age is not
// known.
func (p Policy) effectiveAge(s KnownCheckpoint) time.Duration {
	if s.AgeKnown {
		return s.Age
	}
	return s.Age + p.MaxAge/2
}

// inOlderHalf reports whether a record is in the older half of the retained records, or before
// them.
func inOlderHalf(needed eventlog.Offset, retained eventlog.Bounds) bool {
	return needed < retained.First+(retained.End-retained.First)/2
}

// WriteDelay returns how long a host waits after a checkpoint has become due before it writes
// one. ok is false if the host is not a candidate. The ranking of the live hosts changes every
// EveryRecords records, which distributes the work. jitter is a random number from 0 to 1; it
// separates hosts that rank themselves equally because they disagree on which hosts are live.
func (p Policy) WriteDelay(host string, live []string, offset uint64, jitter float64) (wait time.Duration, ok bool) {
	epoch := offset / max(1, p.EveryRecords)
	own := rendezvousHash(host, epoch)
	rank := 0
	for _, other := range live {
		if other != host && rendezvousHash(other, epoch) > own {
			rank++
		}
	}
	if rank >= p.Candidates {
		return 0, false
	}
	return time.Duration(rank)*p.TurnLength + time.Duration(jitter*float64(p.TurnLength)/2), true
}

// rendezvousHash returns the hash of a host in an epoch, for rendezvous hashing.
func rendezvousHash(host string, epoch uint64) uint64 {
	return xxhash.Sum64String("checkpoint " + strconv.FormatUint(epoch, 10) + " " + host)
}
