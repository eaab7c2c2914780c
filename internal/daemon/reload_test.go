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

// The settings are reloaded after a signal and after a change of the file without a signal. Only
// settings that may change at runtime change, and an invalid file changes nothing.
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
	go func() { _ = d.watchSettings(d.ctx) }()
	signal <- syscall.SIGHUP
	f.eventually("the settings are reloaded after the signal", func() bool { return d.currentSettings().Retries.Burst == 281 })
	host := d.currentSettings().Host
	write("-1")
	signal <- syscall.SIGHUP
	write("1000")
	f.eventually("the settings are reloaded after the change", func() bool { return d.currentSettings().Retries.Burst == 1000 })
	must.Eq(t, host, d.currentSettings().Host, must.Sprint("the host name does not change at runtime"))
	must.Eq(t, 0.1, d.currentSettings().Retries.Ratio, must.Sprint("a setting that is missing from the file has its default"))
}

// The platform kills a stopping process after the drain timeout of the settings. Calls that the
// kill interrupts get no response, so the drain must end earlier.
func TestDaemon_DrainEndsBeforeTheKill(t *testing.T) {
	must.Eq(t, 5*time.Second, drainTimeout(settings.Drain{Timeout: settings.Duration(6 * time.Second)}))
}
