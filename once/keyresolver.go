package once

import (
	"context"

	"github.com/crocuscross/crocuscross/errkind"
)

// KeyResolver maps caller-generated idempotency keys to issued keys.
type KeyResolver interface {
	// Resolve returns the one issued key that a customer's caller-generated key maps
	// to. The error is errkind.KeyUnresolved if the mapping cannot be determined at
	// present.
	Resolve(ctx context.Context, customer, key string) (Key, error)
}

// IssuedKeysOnly is the KeyResolver of a daemon that accepts issued keys only.
type IssuedKeysOnly struct{}

// Resolve returns errkind.KeyUnknown.
func (IssuedKeysOnly) Resolve(context.Context, string, string) (Key, error) {
	return Key{}, errkind.New(errkind.KeyUnknown, "this daemon does not accept caller-generated idempotency keys: "+keyHelp)
}
