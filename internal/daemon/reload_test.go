package daemon

import (
	"bytes"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/internal/settings"
)

// The settings file changes, and a signal says so; then it changes without one. What
// may change while the daemon runs does, and a file with a mistake changes nothing.
func TestDaemon_ReloadsItsSettings(t *testing.T) {
	f := newStoreFleet(t, 1)
	d := f.daemons[0]
	file := filepath.Join(t.TempDir(), "daemon.jsonc")
	write := func(extra string) {
		t.Helper()
		var b bytes.Buffer
		must.NoError(t, settings.WriteDefaults(&b))
		text := bytes.Replace(b.Bytes(), []byte(`"extra": 280`), []byte(`"extra": `+extra), 1)
		must.NoError(t, os.WriteFile(file, text, 0o600))
	}
	write("281")
	signal := make(chan os.Signal, 1)
	d.reloads = ReloadOptions{File: file, Signal: signal}
	go func() { _ = d.followSettings(d.ctx) }()
	signal <- syscall.SIGHUP
	f.eventually("the signal is followed", func() bool { return d.live().Retries.Extra == 281 })
	host := d.live().Host
	write("-1")
	signal <- syscall.SIGHUP
	write("1000")
	f.eventually("the change is followed", func() bool { return d.live().Retries.Extra == 1000 })
	must.Eq(t, host, d.live().Host, must.Sprint("a host's name holds for its life"))
	must.Eq(t, 0.1, d.live().Retries.Ratio, must.Sprint("what the file does not set has its default"))
}

// The platform kills a stopping process after a time that the settings name. Calls
// that are cut off by a kill have no answer, so a drain must be over before it.
func TestDaemon_DrainEndsBeforeTheKill(t *testing.T) {
	must.Eq(t, 5*time.Second, drainTime(settings.Drain{Timeout: settings.Duration(6 * time.Second)}))
}
