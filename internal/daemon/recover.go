package daemon

import (
	"context"
	"net/netip"

	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/blackboard"
)

// recover joins the fleet and learns what this host had in force before.
func (d *Daemon) recover(ctx context.Context, contacts []netip.AddrPort) error {
	if _, err := d.membership.Join(ctx, contacts); err != nil {
		return err
	}
	d.board.Floor.Store(&blackboard.Floor{Offset: d.membership.Floor(d.settings.Host), Known: true})
	d.spreader.Start(fold.Empty())
	return nil
}
