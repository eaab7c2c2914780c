package once

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
)

// FingerprintBytes is the length of a Fingerprint in bytes.
const FingerprintBytes = 16

// Fingerprint identifies the content of a request: a request that reuses a key
// must have the fingerprint of the first request. It is a truncated cryptographic
// digest, because a customer who could create a collision would receive another
// customer's response.
type Fingerprint [FingerprintBytes]byte

// FingerprintHash computes the Fingerprint of a request from its streamed body.
type FingerprintHash struct{ h hash.Hash }

// NewFingerprint returns a hash of the method, the target and the customer, to
// which the caller writes the request body. target is the path with the query.
func NewFingerprint(method, target, customer string) FingerprintHash {
	h := sha256.New()
	var n [4]byte
	for _, s := range []string{method, target, customer} {
		// The length prefix distinguishes "ab"+"c" from "a"+"bc".
		binary.BigEndian.PutUint32(n[:], uint32(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	return FingerprintHash{h}
}

// Write adds p to the hashed body. It never returns an error.
func (f FingerprintHash) Write(p []byte) (int, error) { return f.h.Write(p) }

// Sum returns the fingerprint of the request with the body written so far.
func (f FingerprintHash) Sum() Fingerprint {
	return Fingerprint(f.h.Sum(nil)[:FingerprintBytes])
}
