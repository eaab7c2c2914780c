package deployment

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"text/template"

	"github.com/cockroachdb/errors"
)

const (
	directoryMode = 0o755
	fileMode      = 0o644
)

// settingsTemplate is the settings file of a host. It contains only the settings that depend on the
// deployment or the host; all others keep their defaults. The files in the examples directory must
// be regenerated after a change.
var settingsTemplate = template.Must(template.New("settings").Parse(`// Daemon beside a backend server of {{.Host.Service.Name}}. The addresses are on loopback, so
// that the whole deployment runs on one machine; give each host its own.
{
	"host": "{{.Host.Name}}",
	"availability_zone": "{{.Host.AvailabilityZone}}",
	"region": "{{.Deployment.Region}}",

	"listen": {
		"callers": "{{.Host.Callers}}",
		"peers": "{{.Host.Peers}}",
		"operators": "{{.Host.Operators}}",
		"backend": "{{.Host.Backend}}",
	},

	// One daemon of each other availability zone to join by.
	"contacts": [{{.Contacts}}],

	"platform": {
		"url": "{{.Deployment.PlatformURL}}",
	},

	"spread": {
		// {{.Deployment.ReadersReason}}
		"readers_per_zone": {{.Deployment.ReadersPerZone}},
	},

	"requests": {
		// A hop between availability zones, there and back.
		"zone_cost": "{{.Deployment.ZoneCost}}",
	},
}
`))

// settingsData is the data of settingsTemplate.
type settingsData struct {
	Deployment Deployment
	Host       Host
	// Contacts is the content of a JSON array of strings.
	Contacts string
}

// Settings returns the content of the settings file of a host.
func (d Deployment) Settings(h Host) ([]byte, error) {
	var quoted []string
	for _, c := range d.Contacts(h) {
		quoted = append(quoted, `"`+c.String()+`"`)
	}
	var b bytes.Buffer
	err := settingsTemplate.Execute(&b, settingsData{Deployment: d, Host: h, Contacts: strings.Join(quoted, ", ")})
	return b.Bytes(), errors.Wrap(err, "generate settings")
}

// WriteSettings writes the settings file of each host to a directory, named after the host, and
// returns the paths of the files. It creates the directory if it does not exist.
func (d Deployment) WriteSettings(dir string) ([]string, error) {
	if err := os.MkdirAll(dir, directoryMode); err != nil {
		return nil, errors.Wrap(err, "create settings directory")
	}
	var paths []string
	for _, h := range d.Hosts() {
		raw, err := d.Settings(h)
		if err != nil {
			return nil, err
		}
		path := filepath.Join(dir, h.Name+".jsonc")
		if err := os.WriteFile(path, raw, fileMode); err != nil {
			return nil, errors.Wrap(err, "write settings")
		}
		paths = append(paths, path)
	}
	return paths, nil
}
