package checkpoint

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocuscross/crocuscross/eventlog"
)

// Reason is why a checkpoint is due.
type Reason string

// The reasons, the most pressing first.
const (
	// ReasonNone means that none is due.
	ReasonNone Reason = ""
	// ReasonTail means that the log no longer holds all records after the newest
	// checkpoint: without another, the state lives in daemons' memory alone.
	ReasonTail Reason = "the log has dropped records that no checkpoint covers"
	// ReasonRetention means that the oldest record that a newcomer needs is in
	// the older half of what the log retains.
	ReasonRetention Reason = "records that no checkpoint covers are halfway to being dropped"
	// ReasonRecords means that a newcomer has many records to read.
	ReasonRecords Reason = "many records have followed the last checkpoint"
	// ReasonAge means that the last checkpoint itself, or the records after it,
	// may be halfway to being dropped.
	ReasonAge Reason = "the last checkpoint is old"
)

// Policy says when a checkpoint is due and whose turn it is to write it. Any
// daemon may write one at any time, so the turns need no agreement: they only
// keep duplicates rare.
type Policy struct {
	// EveryRecords is how many records may follow the newest checkpoint.
	EveryRecords uint64
	// MaxAge is how long the newest checkpoint may stand. The log tells no
	// ages, so this must be well under half of the platform's retention.
	MaxAge time.Duration
	// MinInterval is the least time between two checkpoints, unless the log has
	// already dropped what they would cover.
	MinInterval time.Duration
	// Candidates is how many live daemons look at the checkpoint stream. It
	// bounds the reads at the source however large the fleet is.
	Candidates int
	// TurnLength is how long each candidate leaves the write to the one before
	// it.
	TurnLength time.Duration
}

const (
	// A checkpoint is written again after a quarter of the retention: the
	// writers of two more quarters may fail before it is lost.
	agesPerRetention = 4
	// intervalsPerAge keeps a burst of changes from filling the stream, which
	// every daemon that starts without peers reads.
	intervalsPerAge = 12
	// turnsPerAge leaves all candidates their turns long before the next
	// checkpoint is due.
	turnsPerAge = 360
)

// PolicyFor returns the policy for a platform that keeps records for a time.
func PolicyFor(retention time.Duration) Policy {
	maxAge := retention / agesPerRetention
	return Policy{
		EveryRecords: 500,
		MaxAge:       maxAge,
		MinInterval:  maxAge / intervalsPerAge,
		Candidates:   4,
		TurnLength:   maxAge / turnsPerAge,
	}
}

// KnownCheckpoint is the newest whole checkpoint that a daemon knows of.
type KnownCheckpoint struct {
	// Offset of the state.
	Offset uint64
	// Age is the time since the daemon first saw it.
	Age time.Duration
	// AgeKnown is unset where the checkpoint stood there when the daemon first
	// looked. It then counts as half of MaxAge older, or a fleet whose daemons
	// are all replaced within MaxAge would never write one.
	AgeKnown bool
}

// PolicyInput is what a daemon knows when it asks whether a checkpoint is due.
type PolicyInput struct {
	// Offset of the state that the daemon could write.
	Offset uint64
	// Config is what the configuration stream retains.
	Config eventlog.Bounds
	// Newest is nil where the stream holds no whole checkpoint.
	Newest *KnownCheckpoint
}

// Due returns why a checkpoint is due, ReasonNone if none is. A daemon that is
// behind the newest checkpoint leaves it to others.
func (p Policy) Due(s PolicyInput) Reason {
	covered, age := uint64(0), p.MaxAge
	if s.Newest != nil {
		covered, age = s.Newest.Offset, p.ageOf(*s.Newest)
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
	case s.Offset > covered && halfway(needed, s.Config):
		return ReasonRetention
	case s.Offset-covered >= p.EveryRecords:
		return ReasonRecords
	}
	return ReasonNone
}

func (p Policy) ageOf(s KnownCheckpoint) time.Duration {
	if s.AgeKnown {
		return s.Age
	}
	return s.Age + p.MaxAge/2
}

// halfway reports whether a record is in the older half of what is retained.
func halfway(needed eventlog.Offset, retained eventlog.Bounds) bool {
	return needed < retained.First+(retained.End-retained.First)/2
}

// WriteDelay returns how long a host waits once a checkpoint is due, and whether it
// is a candidate at all. The order of the live hosts changes every EveryRecords
// records, so that the work goes around. jitter is a random number from 0 to 1
// that tells apart hosts which differ over who is alive.
func (p Policy) WriteDelay(host string, live []string, offset uint64, jitter float64) (wait time.Duration, ok bool) {
	epoch := offset / max(1, p.EveryRecords)
	own := rendezvous(host, epoch)
	rank := 0
	for _, other := range live {
		if other != host && rendezvous(other, epoch) > own {
			rank++
		}
	}
	if rank >= p.Candidates {
		return 0, false
	}
	return time.Duration(rank)*p.TurnLength + time.Duration(jitter*float64(p.TurnLength)/2), true
}

// rendezvous hashes a host under an epoch.
func rendezvous(host string, epoch uint64) uint64 {
	return xxhash.Sum64String("checkpoint " + strconv.FormatUint(epoch, 10) + " " + host)
}
