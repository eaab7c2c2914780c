package daemon

import (
	"context"
	"os"
	"reflect"
	"time"

	"github.com/crocuscross/crocuscross/internal/settings"
)

// watchInterval is how often the settings file is looked at. It may change without
// a signal.
const watchInterval = time.Second

// ReloadOptions are what makes a daemon read its settings again.
type ReloadOptions struct {
	// File of the settings, empty where they do not come from one.
	File string
	// Signal asks for a reload; it may be nil.
	Signal <-chan os.Signal
}

// live returns the settings in force. Those that bind listeners, name the host or
// shape the parts hold from the start on.
func (d *Daemon) live() *settings.Settings { return d.current.Load() }

// followSettings reads the settings again on a signal and whenever the file has
// changed, until ctx is done.
func (d *Daemon) followSettings(ctx context.Context) error {
	if d.reloads.File == "" {
		return idle(ctx)
	}
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	seen := stamp(d.reloads.File)
	for {
		select {
		case <-d.reloads.Signal:
			seen = stamp(d.reloads.File)
			d.reload("signal")
		case <-t.C:
			if now := stamp(d.reloads.File); now != seen {
				seen = now
				d.reload("file changed")
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// fileStamp tells versions of a file apart.
type fileStamp struct {
	modified time.Time
	size     int64
}

// stamp returns the zero stamp for a file that cannot be looked at, as while it is
// being replaced.
func stamp(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{info.ModTime(), info.Size()}
}

// reload puts in force what may change while the daemon runs. Settings that are
// wrong change nothing.
func (d *Daemon) reload(reason string) {
	next, err := settings.Load(d.reloads.File)
	if err != nil {
		d.logger.Error("daemon: settings not reloaded", "reason", reason, "error", err)
		return
	}
	old := d.live()
	kept := *old
	kept.Retries, kept.Drain, kept.Log.Level = next.Retries, next.Drain, next.Log.Level
	kept.Requests.KilobyteCost = next.Requests.KilobyteCost
	d.current.Store(&kept)
	if err := d.level.UnmarshalText([]byte(kept.Log.Level)); err != nil {
		d.logger.Error("daemon: log level not set", "error", err)
	}
	d.logger.Info("daemon: settings reloaded", "reason", reason,
		"changed", !reflect.DeepEqual(kept, *old), "needs_restart", !reflect.DeepEqual(kept, *next))
}
