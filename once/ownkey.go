package once

import (
	"context"

	"github.com/crocuscross/crocuscross/errkind"
)

// KeyResolver finds the issued key that stands for a key of a caller's own making.
type KeyResolver interface {
	// Resolve returns the one issued key that stands for a customer's own key.
	// The error's kind is KeyUnresolved where that cannot be told now.
	Resolve(ctx context.Context, customer, key string) (Key, error)
}

// IssuedKeysOnly is the OwnKeys of a daemon that takes issued keys only.
type IssuedKeysOnly struct{}

// Resolve refuses the key.
func (IssuedKeysOnly) Resolve(context.Context, string, string) (Key, error) {
	return Key{}, errkind.New(errkind.KeyUnknown, "keys of a caller's own making are not taken here: "+howToGetAKey)
}
