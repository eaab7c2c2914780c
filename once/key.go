package once

import (
	"encoding/base64"
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/once/oncepb"
)

// KeyPrefix is the prefix of every issued key. A key without it is
// caller-generated.
const KeyPrefix = "ccx1-"

const (
	// maxKeyChars is the maximum length of an issued key. Most of it is reserved for
	// the host name.
	maxKeyChars = 512
	// checksumBytes is the length of the checksum at the end of a key. The checksum
	// allows the first daemon to reject a mistyped or truncated key without
	// contacting the holder.
	checksumBytes = 4
)

// keyHelp is the end of error texts about unusable keys.
const keyHelp = "get a key by POST to the daemon's key path, or see the page on idempotency keys"

var keyEncoding = base64.RawURLEncoding

// Key is an issued idempotency key. It identifies its holder, and carries a tag
// that proves that the holder issued the serial number.
type Key struct {
	host   string
	boot   uint64
	serial uint64
	tag    uint32
}

// Holder returns the host and the boot of the daemon that issued the key. Only that
// daemon process may run a call under the key.
func (k Key) Holder() (host string, boot uint64) { return k.host, k.boot }

// String returns the key in the text form that callers send.
func (k Key) String() string {
	raw, err := proto.Marshal(&oncepb.Key{Host: k.host, Boot: k.boot, Serial: k.serial, Tag: k.tag})
	if err != nil {
		// Unreachable: the only cause is a host name that is not valid UTF-8, which the
		// settings reject.
		return ""
	}
	raw = binary.LittleEndian.AppendUint32(raw, uint32(xxhash.Sum64(raw)))
	return KeyPrefix + keyEncoding.EncodeToString(raw)
}

// IsIssued reports whether a key has the form of an issued key. All other keys are
// caller-generated.
func IsIssued(key string) bool { return strings.HasPrefix(Unquote(key), KeyPrefix) }

// Unquote returns the key in the value of an Idempotency-Key header, without
// surrounding white space and double quotes.
func Unquote(header string) string {
	s := strings.TrimSpace(header)
	if len(s) >= 2 && s[0] == '"' && s[len(s)-1] == '"' {
		return s[1 : len(s)-1]
	}
	return s
}

// ParseKey parses an issued key, quoted or not. The error is errkind.KeyUnknown: no
// call has ever run under a key that cannot be parsed.
func ParseKey(header string) (Key, error) {
	s := Unquote(header)
	rest, ok := strings.CutPrefix(s, KeyPrefix)
	if !ok {
		return Key{}, errkind.New(errkind.KeyUnknown, "the idempotency key is not an issued key: "+keyHelp)
	}
	if len(s) > maxKeyChars {
		return Key{}, errkind.Newf(errkind.KeyUnknown, "the idempotency key is longer than %d characters", maxKeyChars)
	}
	raw, err := keyEncoding.DecodeString(rest)
	if err != nil || len(raw) < checksumBytes {
		return Key{}, damagedKeyError()
	}
	raw, check := raw[:len(raw)-checksumBytes], raw[len(raw)-checksumBytes:]
	if binary.LittleEndian.Uint32(check) != uint32(xxhash.Sum64(raw)) {
		return Key{}, damagedKeyError()
	}
	var pb oncepb.Key
	if err := proto.Unmarshal(raw, &pb); err != nil || pb.GetHost() == "" {
		return Key{}, damagedKeyError()
	}
	return Key{host: pb.GetHost(), boot: pb.GetBoot(), serial: pb.GetSerial(), tag: pb.GetTag()}, nil
}

func damagedKeyError() error {
	return errkind.New(errkind.KeyUnknown, "the idempotency key is malformed or its checksum is wrong: "+keyHelp)
}
