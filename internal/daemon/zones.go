package daemon

import (
	"context"
	"log/slog"
	"time"

	"github.com/crocuscross/crocuscross/capacity"
	"github.com/crocuscross/crocuscross/internal/settings"
	"github.com/crocuscross/crocuscross/internal/telemetry"
)

// buildZones builds the state of the load of services by availability zone, if the settings place
// calls by it.
func (p *components) buildZones(d *Daemon) {
	if d.settings.Load.ZoneSpill != settings.On {
		return
	}
	p.zones = capacity.New(capacity.Options{AvailabilityZone: d.settings.AvailabilityZone, Host: d.settings.Host, Now: time.Now})
	d.registry.MustRegister(telemetry.NewZoneCollector(p.zones.Stats))
}

// spillLogInterval is the time between two checks whether calls leave their availability zone. It
// bounds the log lines about it.
const spillLogInterval = 10 * time.Second

// logSpills logs when calls begin to leave their availability zone and when they cease to.
func (d *Daemon) logSpills(ctx context.Context) error {
	if d.zones == nil {
		return idle(ctx)
	}
	t := time.NewTicker(spillLogInterval)
	defer t.Stop()
	var spilling bool
	var before int64
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
		st := d.zones.Stats()
		var total int64
		attrs := []any{}
		for _, r := range capacity.Reasons() {
			total += st.Spills[r]
			attrs = append(attrs, slog.Int64(r.String(), st.Spills[r]))
		}
		switch left := total > before; {
		case left && !spilling:
			for _, u := range st.Uses {
				attrs = append(attrs, slog.Float64("use."+u.Service+"."+u.AvailabilityZone, u.Use))
			}
			d.logger.Info("capacity: calls leave the availability zone", attrs...)
			spilling = true
		case !left && spilling:
			d.logger.Info("capacity: calls no longer leave the availability zone", attrs...)
			spilling = false
		}
		before = total
	}
}
