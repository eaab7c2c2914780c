// Package quarantine keeps requests away from backend servers that end under them. A
// request that crashes each server which begins to run it, and that its caller sends again
// and again, would else take one server after the other: no bound on retries within a call
// counts what a caller repeats, at any daemon.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Identity tells one request from others by what a caller repeats: a prefix of a SHA-256.
// Callers choose what is hashed, and one that could find a second request of the same
// identity could have another customer's refused.
type Identity [16]byte

// String returns the identity in hexadecimal digits.
func (i Identity) String() string { return hex.EncodeToString(i[:]) }

// IsZero reports whether the identity is not known.
func (i Identity) IsZero() bool { return i == Identity{} }

// ParseIdentity reads what String returns.
func ParseIdentity(s string) (Identity, bool) {
	b, err := hex.DecodeString(s)
	if err != nil {
		return Identity{}, false
	}
	return IdentityFrom(b)
}

// IdentityFrom returns the identity of its bytes, as messages carry it.
func IdentityFrom(b []byte) (id Identity, ok bool) {
	return id, copy(id[:], b) == len(id) && len(b) == len(id)
}

// Request is what makes the identity of a request.
type Request struct {
	// Customer is who sends it, empty where callers are not told apart.
	Customer  string
	Method    string
	Authority string
	// Target is the path with the query.
	Target string
	Body   []byte
	// Streamed is whether the body is passed on as it comes, so that Body lacks it. Such
	// requests are told apart by their heads alone.
	Streamed bool
}

// IdentityOf returns the identity of a request.
func IdentityOf(r Request) Identity {
	h := sha256.New()
	var length [8]byte
	// Each field goes behind its length: no two requests are the same bytes.
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
