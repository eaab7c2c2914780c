package daemon

import (
	"context"
	"os"
	"reflect"
	"time"

	"github.com/crocuscross/crocuscross/internal/settings"
)

// pollInterval is how often the settings file is checked for changes, which may come without a
// signal, and how often the retry burst is computed anew.
const pollInterval = time.Second

// ReloadOptions defines what makes a daemon reload its settings.
type ReloadOptions struct {
	// File is the path of the settings file, empty if the settings do not come from a file. An
	// empty path disables reloads.
	File string
	// Signal requests a reload with each value; it may be nil.
	Signal <-chan os.Signal
}

// currentSettings returns the settings in force. Settings that bind listeners, name the host or
// configure components keep their initial values until the daemon restarts.
func (d *Daemon) currentSettings() *settings.Settings { return d.current.Load() }

// watchSettings reloads the settings on each signal and whenever the file has changed, until ctx is
// done.
func (d *Daemon) watchSettings(ctx context.Context) error {
	if d.reloads.File == "" {
		return idle(ctx)
	}
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	seen := fileVersionOf(d.reloads.File)
	for {
		select {
		case <-d.reloads.Signal:
			seen = fileVersionOf(d.reloads.File)
			d.reload("signal")
		case <-t.C:
			if now := fileVersionOf(d.reloads.File); now != seen {
				seen = now
				d.reload("file changed")
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// fileVersion distinguishes versions of a file.
type fileVersion struct {
	modified time.Time
	size     int64
}

// fileVersionOf returns the version of the file at path. It returns the zero value if the file is
// not accessible, for example while it is being replaced.
func fileVersionOf(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{info.ModTime(), info.Size()}
}

// reload puts in force the reloaded values of those settings that may change while the daemon runs.
// An invalid settings file changes nothing.
func (d *Daemon) reload(reason string) {
	next, err := settings.Load(d.reloads.File)
	if err != nil {
		d.logger.Error("daemon: settings not reloaded", "reason", reason, "error", err)
		return
	}
	old := d.currentSettings()
	merged := *old
	merged.Retries, merged.Drain, merged.Log.Level = next.Retries, next.Drain, next.Log.Level
	merged.Requests.KilobyteCost = next.Requests.KilobyteCost
	d.current.Store(&merged)
	if err := d.level.UnmarshalText([]byte(merged.Log.Level)); err != nil {
		d.logger.Error("daemon: log level not set", "error", err)
	}
	d.logger.Info("daemon: settings reloaded", "reason", reason,
		"changed", !reflect.DeepEqual(merged, *old), "needs_restart", !reflect.DeepEqual(merged, *next))
}
