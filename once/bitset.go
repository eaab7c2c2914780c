package once

// bitset holds numbers in chunks that are made when first needed and dropped
// from the bottom.
type bitset struct {
	chunks map[uint64]*chunk
	// bottom is the lowest chunk that may exist.
	bottom uint64
}

// chunkBits is how many numbers a chunk covers.
const chunkBits = 4096

type chunk [chunkBits / 64]uint64

func newBitset() bitset { return bitset{chunks: make(map[uint64]*chunk)} }

func (b *bitset) has(n uint64) bool {
	c := b.chunks[n/chunkBits]
	return c != nil && c[n%chunkBits/64]&(1<<(n%64)) != 0
}

func (b *bitset) set(n uint64) {
	c := b.chunks[n/chunkBits]
	if c == nil {
		c = new(chunk)
		b.chunks[n/chunkBits] = c
	}
	c[n%chunkBits/64] |= 1 << (n % 64)
}

func (b *bitset) clear(n uint64) {
	if c := b.chunks[n/chunkBits]; c != nil {
		c[n%chunkBits/64] &^= 1 << (n % 64)
	}
}

// dropBelow drops the chunks that hold only numbers below n.
func (b *bitset) dropBelow(n uint64) {
	for ; b.bottom < n/chunkBits; b.bottom++ {
		delete(b.chunks, b.bottom)
	}
}
