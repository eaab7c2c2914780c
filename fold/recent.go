package fold

import (
	"maps"
	"slices"
)

const (
	// MaxVerdicts bounds how many publishes are remembered for telling repeats:
	// a verdict is forgotten at the latest when MaxVerdicts records have
	// followed it. At 1,300 changes a day that is three days, far longer than a
	// publisher repeats.
	MaxVerdicts = 4096

	// blockRecords is how many records' verdicts are forgotten at once.
	blockRecords = 128
	maxBlocks    = MaxVerdicts / blockRecords
	// maxBlockDeletions bounds the deletions remembered of one block. Further
	// ones are forgotten; the loser of a race is then not told who deleted.
	maxBlockDeletions = 32
)

// Verdict is what became of one publish.
type Verdict struct {
	PublishID string
	// Offset of the record that was decided on.
	Offset   uint64
	Accepted bool
	// Reasons tells why a publish was rejected.
	Reasons []string
}

// Deletion tells who deleted a resource.
type Deletion struct {
	Key Key
	// Offset of the record that deleted the resource.
	Offset uint64
	Author string
}

// recent remembers the verdicts and deletions of the latest records, in blocks
// by offset. When to forget follows from offsets alone: a window counted in
// verdicts would have to survive serialization to be the same on a daemon that
// started from a checkpoint.
type recent struct {
	// blocks in ascending order. Neither the slice's elements nor the blocks
	// are written to once they are here, because older states share them.
	blocks []*block
}

// block holds what is remembered of blockRecords consecutive offsets.
type block struct {
	number    uint64
	verdicts  []Verdict
	byPublish map[string]int
	deletions []Deletion
}

func blockOf(offset uint64) uint64 { return offset / blockRecords }

func (b *block) clone() *block {
	return &block{
		number:    b.number,
		verdicts:  slices.Clone(b.verdicts),
		byPublish: maps.Clone(b.byPublish),
		deletions: slices.Clone(b.deletions),
	}
}

// remembered reports whether what happened at an offset is still remembered
// by a state.
func remembered(offset, stateOffset uint64) bool {
	return blockOf(offset)+maxBlocks > blockOf(stateOffset)
}

// forget drops the blocks that a state at an offset no longer remembers.
func (r *recent) forget(offset uint64) {
	for len(r.blocks) > 0 && !remembered(r.blocks[0].number*blockRecords, offset) {
		r.blocks = r.blocks[1:]
	}
}

// open returns the block of the latest offset, for writing. It takes the place
// of the shared one.
func (r *recent) open(offset uint64) *block {
	n := len(r.blocks)
	if n == 0 || r.blocks[n-1].number != blockOf(offset) {
		return r.fill(offset)
	}
	b := r.blocks[n-1].clone()
	r.blocks = append(slices.Clip(r.blocks[:n-1]), b)
	return b
}

// fill is open for a state that nobody else has seen yet: nothing is copied.
func (r *recent) fill(offset uint64) *block {
	n := len(r.blocks)
	if n > 0 && r.blocks[n-1].number == blockOf(offset) {
		return r.blocks[n-1]
	}
	b := &block{number: blockOf(offset), byPublish: make(map[string]int)}
	r.blocks = append(slices.Clip(r.blocks), b)
	return b
}

// find returns the block of an offset, nil if there is none.
func (r *recent) find(offset uint64) *block {
	for _, b := range r.blocks {
		if b.number == blockOf(offset) {
			return b
		}
	}
	return nil
}

func (b *block) addVerdict(v Verdict) {
	b.byPublish[v.PublishID] = len(b.verdicts)
	b.verdicts = append(b.verdicts, v)
}

func (b *block) room() bool { return len(b.deletions) < maxBlockDeletions }

func (b *block) addDeletion(d Deletion) {
	if b.room() {
		b.deletions = append(b.deletions, d)
	}
}

func (r *recent) verdict(publishID string) (Verdict, bool) {
	for _, b := range slices.Backward(r.blocks) {
		if i, ok := b.byPublish[publishID]; ok {
			return b.verdicts[i], true
		}
	}
	return Verdict{}, false
}

// deletion returns the latest deletion of a resource.
func (r *recent) deletion(k Key) (Deletion, bool) {
	for _, b := range slices.Backward(r.blocks) {
		for _, d := range slices.Backward(b.deletions) {
			if d.Key == k {
				return d, true
			}
		}
	}
	return Deletion{}, false
}
