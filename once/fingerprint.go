package once

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
)

// FingerprintBytes is the length of a Fingerprint.
const FingerprintBytes = 16

// Fingerprint tells whether two requests under one key are the same request.
// It is cut from a cryptographic digest, since a customer who could make two
// requests collide would be given another's answer.
type Fingerprint [FingerprintBytes]byte

// FingerprintHash takes the body of a request as it comes.
type FingerprintHash struct{ h hash.Hash }

// NewFingerprint starts the fingerprint of a request; the body is written to
// it. Target is the path with the query.
func NewFingerprint(method, target, customer string) FingerprintHash {
	h := sha256.New()
	var n [4]byte
	for _, s := range []string{method, target, customer} {
		// The length keeps "ab"+"c" from equalling "a"+"bc".
		binary.BigEndian.PutUint32(n[:], uint32(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	return FingerprintHash{h}
}

// Write adds a part of the body. It never fails.
func (f FingerprintHash) Write(p []byte) (int, error) { return f.h.Write(p) }

// Sum returns the fingerprint of what was written so far.
func (f FingerprintHash) Sum() Fingerprint {
	return Fingerprint(f.h.Sum(nil)[:FingerprintBytes])
}
