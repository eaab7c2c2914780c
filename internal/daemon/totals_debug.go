package daemon

import (
	"context"
	"time"
)

func (d *Daemon) debugTotals(ctx context.Context) error {
	t := time.NewTicker(4 * time.Second)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
		fams, _ := d.registry.Gather()
		for _, f := range fams {
			if f.GetName() != "crocuscross_peer_bytes_total" {
				continue
			}
			args := []any{}
			for _, m := range f.GetMetric() {
				if m.GetCounter().GetValue() == 0 {
					continue
				}
				name := ""
				for _, l := range m.GetLabel() {
					name += l.GetValue() + " "
				}
				args = append(args, name, m.GetCounter().GetValue())
			}
			d.logger.Info("DEBUG totals", args...)
		}
	}
}
