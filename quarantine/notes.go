package quarantine

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/quarantine/quarantinepb"
)

const (
	// maxIdentitiesPerCrash is the maximum number of requests in the note on one crash.
	maxIdentitiesPerCrash = 24
	// maxCrashNotes and maxClearingNotes bound the notes that a daemon publishes at a time.
	// Running daemons have received the older ones before; only a daemon that starts later
	// misses them.
	maxCrashNotes    = 3
	maxClearingNotes = 4
)

// ownNote is a note of this daemon and the time at which it was created.
type ownNote struct {
	note *quarantinepb.Note
	at   time.Time
}

// ownNotes holds the crashes and clearings that this daemon publishes, each the latest first.
type ownNotes struct {
	// seq is the number of the latest note.
	seq                uint32
	crashes, clearings []ownNote
}

// addCrash adds the note on a crash and returns its number.
func (o *ownNotes) addCrash(ids []Identity, now time.Time) uint32 {
	o.seq++
	n := &quarantinepb.Note{Seq: o.seq}
	for _, id := range ids {
		n.EndedUnder = append(n.EndedUnder, id[:]...)
	}
	o.crashes = prepend(o.crashes, ownNote{n, now}, maxCrashNotes)
	return o.seq
}

// addClearing adds a clearing of the verdicts that end at or before until.
func (o *ownNotes) addClearing(id Identity, until, now time.Time) {
	o.seq++
	n := &quarantinepb.Note{Seq: o.seq, Clearing: &quarantinepb.Clearing{Identity: id[:], UntilUnix: until.Unix()}}
	o.clearings = prepend(o.clearings, ownNote{n, now}, maxClearingNotes)
}

// expire removes the notes older than window, and reports whether there were any.
func (o *ownNotes) expire(now time.Time, window time.Duration) bool {
	before := len(o.crashes) + len(o.clearings)
	o.crashes = youngerThan(o.crashes, now, window)
	o.clearings = youngerThan(o.clearings, now, window)
	return len(o.crashes)+len(o.clearings) < before
}

// prepend inserts n before the list and truncates the list to limit.
func prepend(list []ownNote, n ownNote, limit int) []ownNote {
	list = append([]ownNote{n}, list...)
	return list[:min(len(list), limit)]
}

// youngerThan returns the notes up to the first that is older than age.
func youngerThan(list []ownNote, now time.Time, age time.Duration) []ownNote {
	for i, n := range list {
		if now.Sub(n.at) > age {
			return list[:i]
		}
	}
	return list
}

// Notes returns the serialized notes that this daemon publishes, the most urgent first: its
// latest crash, its clearings, the given verdicts, which it carries for daemons that start
// later, and its earlier crashes.
func (t *Tracker) Notes(carried []Verdict) [][]byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	var notes []*quarantinepb.Note
	add := func(list []ownNote) {
		for _, n := range list {
			notes = append(notes, n.note)
		}
	}
	latest := min(len(t.own.crashes), 1)
	add(t.own.crashes[:latest])
	add(t.own.clearings)
	for _, v := range carried {
		notes = append(notes, &quarantinepb.Note{Verdict: encodeVerdict(v)})
	}
	add(t.own.crashes[latest:])
	encoded := make([][]byte, 0, len(notes))
	for _, n := range notes {
		if b, err := proto.Marshal(n); err == nil {
			encoded = append(encoded, b)
		}
	}
	return encoded
}

// PeerNotes holds the notes of another daemon. Boot is the ID of one run of its process.
type PeerNotes struct {
	Host  string
	Boot  uint64
	Notes [][]byte
}

// Observe processes the notes of other daemons. Notes that were processed before change
// nothing, and notes that cannot be decoded are skipped. Clearings are applied last, since a
// daemon that starts receives crashes and their clearings together and in any order.
func (t *Tracker) Observe(all []PeerNotes) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	var clearings []*quarantinepb.Clearing
	for _, peer := range all {
		for _, b := range peer.Notes {
			n := new(quarantinepb.Note)
			if proto.Unmarshal(b, n) != nil {
				continue
			}
			if v, ok := decodeVerdict(n.GetVerdict()); ok {
				t.adoptVerdict(v, now)
				continue
			}
			from := noteID{peer.Host, peer.Boot, n.GetSeq()}
			if _, ok := t.seen[from]; ok {
				continue
			}
			t.seen[from] = now
			t.observeCrash(n, from, now)
			clearings = append(clearings, n.GetClearing())
		}
	}
	for _, c := range clearings {
		if id, ok := IdentityFrom(c.GetIdentity()); ok {
			t.applyClearing(id, time.Unix(c.GetUntilUnix(), 0), now)
		}
	}
	t.notify()
}

// observeCrash counts the crash in a note for each of its requests.
func (t *Tracker) observeCrash(n *quarantinepb.Note, from noteID, now time.Time) {
	const size = len(Identity{})
	for b := n.GetEndedUnder(); len(b) >= size; b = b[size:] {
		id, _ := IdentityFrom(b[:size])
		t.countCrash(id, from, now)
	}
}

func encodeVerdict(v Verdict) *quarantinepb.Verdict {
	return &quarantinepb.Verdict{Identity: v.Identity[:], UntilUnix: v.Until.Unix(), HoldS: uint32(v.Duration / time.Second)}
}

func decodeVerdict(v *quarantinepb.Verdict) (Verdict, bool) {
	id, ok := IdentityFrom(v.GetIdentity())
	return Verdict{
		Identity: id, Until: time.Unix(v.GetUntilUnix(), 0), Duration: time.Duration(v.GetHoldS()) * time.Second,
	}, ok
}

// EncodeEntry serializes a verdict as an entry of the platform's directory.
func EncodeEntry(v Verdict) ([]byte, error) {
	return proto.Marshal(&quarantinepb.DirectoryEntry{Verdict: encodeVerdict(v)})
}

// DecodeEntry parses an entry of the platform's directory. ok is false if the entry does not
// hold a verdict.
func DecodeEntry(b []byte) (v Verdict, ok bool) {
	e := new(quarantinepb.DirectoryEntry)
	if proto.Unmarshal(b, e) != nil {
		return Verdict{}, false
	}
	return decodeVerdict(e.GetVerdict())
}
