package fold

import (
	"maps"
	"slices"
)

const (
	// MaxVerdicts is the number of records for which verdicts are stored, in order to recognize
	// repeated publishes: a verdict is dropped at the latest when MaxVerdicts records have
	// followed it. At 1,300 changes a day this is three days, far longer than a publisher
	// retries.
	MaxVerdicts = 4096

	// blockRecords is the number of records whose verdicts and deletions are dropped together.
	blockRecords = 128
	maxBlocks    = MaxVerdicts / blockRecords
	// maxBlockDeletions limits the deletions stored for one block. Further ones are not stored; a
	// rejection that follows from such a deletion does not name its author.
	maxBlockDeletions = 32
)

// Verdict is the decision of the fold on one record.
type Verdict struct {
	PublishID string
	// Offset is the offset of the record.
	Offset   uint64
	Accepted bool
	// Reasons says why the record was rejected. It is empty if the record was accepted.
	Reasons []string
}

// Deletion records by whom and at which offset a resource was deleted.
type Deletion struct {
	Key Key
	// Offset is the offset of the record that deleted the resource.
	Offset uint64
	Author string
}

// recentHistory stores the verdicts and deletions of the latest records, in blocks by offset.
// Which blocks are dropped depends on offsets alone: a window counted in verdicts would have to
// be serialized with the state to be the same on a daemon that started from a checkpoint.
type recentHistory struct {
	// blocks is in ascending order. Older states share the slice and the blocks, so neither the
	// slice's elements nor the blocks are modified once they are in use.
	blocks []*block
}

// block contains the verdicts and deletions of blockRecords consecutive offsets.
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

// retained reports whether a state at stateOffset still stores the verdict and deletions of an
// offset.
func retained(offset, stateOffset uint64) bool {
	return blockOf(offset)+maxBlocks > blockOf(stateOffset)
}

// evictExpired drops the blocks that a state at an offset no longer stores.
func (r *recentHistory) evictExpired(offset uint64) {
	for len(r.blocks) > 0 && !retained(r.blocks[0].number*blockRecords, offset) {
		r.blocks = r.blocks[1:]
	}
}

// writableBlock returns the block of an offset, which is the latest, for writing. It replaces an
// existing block by a copy because older states share it.
func (r *recentHistory) writableBlock(offset uint64) *block {
	n := len(r.blocks)
	if n == 0 || r.blocks[n-1].number != blockOf(offset) {
		return r.unsharedBlock(offset)
	}
	b := r.blocks[n-1].clone()
	r.blocks = append(slices.Clip(r.blocks[:n-1]), b)
	return b
}

// unsharedBlock is like writableBlock for a state that is not shared yet: it copies no block.
func (r *recentHistory) unsharedBlock(offset uint64) *block {
	n := len(r.blocks)
	if n > 0 && r.blocks[n-1].number == blockOf(offset) {
		return r.blocks[n-1]
	}
	b := &block{number: blockOf(offset), byPublish: make(map[string]int)}
	r.blocks = append(slices.Clip(r.blocks), b)
	return b
}

// find returns the block of an offset, nil if there is none.
func (r *recentHistory) find(offset uint64) *block {
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

func (b *block) hasRoomForDeletion() bool { return len(b.deletions) < maxBlockDeletions }

func (b *block) addDeletion(d Deletion) {
	if b.hasRoomForDeletion() {
		b.deletions = append(b.deletions, d)
	}
}

func (r *recentHistory) verdict(publishID string) (Verdict, bool) {
	for _, b := range slices.Backward(r.blocks) {
		if i, ok := b.byPublish[publishID]; ok {
			return b.verdicts[i], true
		}
	}
	return Verdict{}, false
}

// deletion returns the latest deletion of a resource.
func (r *recentHistory) deletion(k Key) (Deletion, bool) {
	for _, b := range slices.Backward(r.blocks) {
		for _, d := range slices.Backward(b.deletions) {
			if d.Key == k {
				return d, true
			}
		}
	}
	return Deletion{}, false
}
