// Package quarantine rejects requests that crash backend servers.
//
// A request that crashes every server that starts to process it, and that its caller keeps
// repeating, would otherwise crash one server after another: the retry limits of a single
// call do not count repetitions by the caller, which may arrive at any daemon.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Identity identifies a request across repetitions by its caller. It is the first 16 bytes
// of a SHA-256 hash over the fields of Request. The hash is cryptographic because callers
// choose the hashed data: a caller that found a second request with the same identity could
// have another customer's request rejected.
type Identity [16]byte

// String returns the identity as 32 hexadecimal digits.
func (i Identity) String() string { return hex.EncodeToString(i[:]) }

// IsZero reports whether i is the zero value, which stands for an unknown identity.
func (i Identity) IsZero() bool { return i == Identity{} }

// ParseIdentity parses the format returned by String.
func ParseIdentity(s string) (Identity, bool) {
	b, err := hex.DecodeString(s)
	if err != nil {
		return Identity{}, false
	}
	return IdentityFrom(b)
}

// IdentityFrom converts the bytes of an identity, as sent in messages. ok is false if b does
// not have the length of an identity.
func IdentityFrom(b []byte) (id Identity, ok bool) {
	return id, copy(id[:], b) == len(id) && len(b) == len(id)
}

// Request holds the fields of a request that determine its identity.
type Request struct {
	// Customer is the client account of the caller, empty if callers are not distinguished.
	Customer  string
	Method    string
	Authority string
	// Target is the path including the query.
	Target string
	Body   []byte
	// Streamed is true if the body is forwarded while it is being received. Body is ignored
	// then, and requests are distinguished by the other fields alone.
	Streamed bool
}

// IdentityOf computes the identity of a request.
func IdentityOf(r Request) Identity {
	h := sha256.New()
	var length [8]byte
	// Each field is preceded by its length, so that different requests never hash the same bytes.
	for _, field := range []string{r.Customer, r.Method, r.Authority, r.Target} {
		h.Write(binary.BigEndian.AppendUint64(length[:0], uint64(len(field))))
		h.Write([]byte(field))
	}
	if r.Streamed {
		h.Write([]byte{1})
	} else {
		h.Write([]byte{0})
		h.Write(r.Body)
	}
	var sum [sha256.Size]byte
	id, _ := IdentityFrom(h.Sum(sum[:0])[:len(Identity{})])
	return id
}
