package once

import (
	"context"

	"github.com/crocuscross/crocuscross/errkind"
)

// OwnKeys finds the issued key that stands for a key of a caller's own making.
type OwnKeys interface {
	// Claim returns the one issued key that stands for a customer's own key.
	// The error's kind is KeyUnresolved where that cannot be told now.
	Claim(ctx context.Context, customer, key string) (Key, error)
}

// NoOwnKeys is the OwnKeys of a daemon that takes issued keys only.
type NoOwnKeys struct{}

// Claim refuses the key.
func (NoOwnKeys) Claim(context.Context, string, string) (Key, error) {
	return Key{}, errkind.New(errkind.KeyUnknown, "keys of a caller's own making are not taken here: "+howToGetAKey)
}
