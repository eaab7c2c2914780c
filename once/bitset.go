package once

// bitset is a set of numbers, stored in chunks that are allocated on first use and
// dropped in ascending order.
type bitset struct {
	chunks map[uint64]*chunk
	// lowest is the index of the lowest chunk that may exist.
	lowest uint64
}

// chunkBits is the number of values that a chunk covers.
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

// dropBelow removes the chunks that cover only numbers below n.
func (b *bitset) dropBelow(n uint64) {
	for ; b.lowest < n/chunkBits; b.lowest++ {
		delete(b.chunks, b.lowest)
	}
}
