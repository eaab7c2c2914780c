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

// KeyPrefix begins every issued key and no key of a caller's own making.
const KeyPrefix = "ccx1-"

const (
	// maxKeyChars bounds an issued key; a host name takes most of it.
	maxKeyChars = 512
	// checkBytes is the length of the check sum that ends a key. It tells a key
	// that was copied badly at the first daemon, without asking the holder.
	checkBytes = 4
)

// howToGetAKey ends the text of errors about keys.
const howToGetAKey = "get a key by POST to the daemon's key path, or see the page on idempotency keys"

var keyEncoding = base64.RawURLEncoding

// Key is an issued idempotency key.
type Key struct {
	host   string
	boot   uint64
	serial uint64
	tag    uint32
}

// Holder returns the host and the life of its daemon that alone may run a call
// under the key.
func (k Key) Holder() (host string, boot uint64) { return k.host, k.boot }

// String returns the key as callers send it.
func (k Key) String() string {
	raw, err := proto.Marshal(&oncepb.Key{Host: k.host, Boot: k.boot, Serial: k.serial, Tag: k.tag})
	if err != nil {
		// Only a host name that is not UTF-8 gets here; settings refuse it.
		return ""
	}
	raw = binary.LittleEndian.AppendUint32(raw, uint32(xxhash.Sum64(raw)))
	return KeyPrefix + keyEncoding.EncodeToString(raw)
}

// IsIssued reports whether a key has the form of issued keys. All others are
// of the caller's own making.
func IsIssued(key string) bool { return strings.HasPrefix(Unquote(key), KeyPrefix) }

// Unquote returns the content of an Idempotency-Key header, which may be sent
// as a quoted string.
func Unquote(header string) string {
	s := strings.TrimSpace(header)
	if len(s) >= 2 && s[0] == '"' && s[len(s)-1] == '"' {
		return s[1 : len(s)-1]
	}
	return s
}

// ParseKey reads an issued key, quoted or not. The error is
// errkind.KeyUnknown; nothing ever ran under such a key.
func ParseKey(header string) (Key, error) {
	s := Unquote(header)
	rest, ok := strings.CutPrefix(s, KeyPrefix)
	if !ok {
		return Key{}, errkind.New(errkind.KeyUnknown, "the idempotency key was not issued here: "+howToGetAKey)
	}
	if len(s) > maxKeyChars {
		return Key{}, errkind.Newf(errkind.KeyUnknown, "the idempotency key has more than %d characters", maxKeyChars)
	}
	raw, err := keyEncoding.DecodeString(rest)
	if err != nil || len(raw) < checkBytes {
		return Key{}, badKey()
	}
	raw, check := raw[:len(raw)-checkBytes], raw[len(raw)-checkBytes:]
	if binary.LittleEndian.Uint32(check) != uint32(xxhash.Sum64(raw)) {
		return Key{}, badKey()
	}
	var pb oncepb.Key
	if err := proto.Unmarshal(raw, &pb); err != nil || pb.GetHost() == "" {
		return Key{}, badKey()
	}
	return Key{host: pb.GetHost(), boot: pb.GetBoot(), serial: pb.GetSerial(), tag: pb.GetTag()}, nil
}

func badKey() error {
	return errkind.New(errkind.KeyUnknown, "the idempotency key is damaged: "+howToGetAKey)
}
