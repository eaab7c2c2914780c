// Package apikey generates and recognizes the API keys by which callers authenticate. The
// configuration contains only digests of the keys, so that neither it nor anything derived from it
// can be used to authenticate.
package apikey

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
)

// MaxBytes is the maximum length of a key.
const MaxBytes = 256

// HeaderAuthorization is the header field in which a caller sends its key, in the form "Bearer KEY".
const HeaderAuthorization = "Authorization"

const (
	scheme = "Bearer "
	// prefix lets secret scanners recognize the keys that Generate returns.
	prefix = "ccx_"
	// idBytes is the length of an ID before encoding. 48 bits keep the IDs of 10,000 keys distinct
	// with a probability of 0.9999998.
	idBytes = 6
)

// Digest is the SHA-256 digest of a key. Keys are long random strings, so a salt or a slow hash
// would add nothing.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key. It does not allocate for keys of up to MaxBytes bytes.
func DigestOf(key string) Digest {
	var buf [MaxBytes]byte
	if len(key) > len(buf) {
		return sha256.Sum256([]byte(key))
	}
	return sha256.Sum256(buf[:copy(buf[:], key)])
}

// ID returns the identifier of the key for operators. It reveals nothing about the key.
func (d Digest) ID() string { return hex.EncodeToString(d[:idBytes]) }

// Generate returns a new random key of 130 bits.
func Generate() string { return prefix + rand.Text() }

// Credential is what the header of a request states about the caller's key.
type Credential uint8

// The values of Credential.
const (
	// Absent means that the request has no Authorization header.
	Absent Credential = iota
	// Malformed means that the request does not state exactly one key.
	Malformed
	// Present means that the request states one key.
	Present
)

// FromHeader returns the digest of the key in a request header. The digest is valid only if the
// Credential is Present. Two Authorization fields are malformed, because programs on the way may
// disagree on which of them counts.
func FromHeader(h http.Header) (Digest, Credential) {
	values := h[HeaderAuthorization]
	switch {
	case len(values) == 0:
		return Digest{}, Absent
	case len(values) > 1:
		return Digest{}, Malformed
	}
	key, ok := parseBearer(values[0])
	if !ok {
		return Digest{}, Malformed
	}
	return DigestOf(key), Present
}

// parseBearer returns the key in the value of an Authorization field. The scheme is not case
// sensitive (RFC 9110, section 11.1).
func parseBearer(value string) (key string, ok bool) {
	if len(value) <= len(scheme) || !strings.EqualFold(value[:len(scheme)], scheme) {
		return "", false
	}
	key = strings.TrimLeft(value[len(scheme):], " ")
	if key == "" || len(key) > MaxBytes || strings.ContainsFunc(key, isNotVisible) {
		return "", false
	}
	return key, true
}

func isNotVisible(r rune) bool { return r <= ' ' || r > '~' }
