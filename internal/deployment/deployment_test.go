package deployment_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/internal/deployment"
	"github.com/crocuscross/crocuscross/internal/settings"
)

// The settings files in the examples directory must equal the generated ones and must be valid.
func TestExamplesAreCurrent(t *testing.T) {
	for _, d := range deployment.All() {
		dir := filepath.Join("..", "..", "examples", d.Name, "daemons")
		files, err := os.ReadDir(dir)
		must.NoError(t, err)
		must.Len(t, len(d.Hosts()), files)
		for _, h := range d.Hosts() {
			want, err := d.Settings(h)
			must.NoError(t, err)
			got, err := os.ReadFile(filepath.Join(dir, h.Name+".jsonc"))
			must.NoError(t, err)
			must.Eq(t, string(want), string(got), must.Sprintf("run: crocuscross settings example --deployment %s --dir examples/%s/daemons", d.Name, d.Name))
			s, err := settings.Parse(h.Name, got)
			must.NoError(t, err)
			must.Len(t, len(d.AvailabilityZones)-ownContacts(d, h), s.Contacts)
		}
	}
}

// ownContacts returns 1 if the host is the contact of its availability zone, otherwise 0.
func ownContacts(d deployment.Deployment, h deployment.Host) int {
	for _, first := range d.Hosts() {
		if first.AvailabilityZone == h.AvailabilityZone {
			if first == h {
				return 1
			}
			return 0
		}
	}
	return 0
}

func TestHostAddressesAreUnique(t *testing.T) {
	seen := map[string]bool{}
	for _, d := range deployment.All() {
		zones := map[string]bool{}
		for _, h := range d.Hosts() {
			must.False(t, seen[h.Addr.String()])
			seen[h.Addr.String()] = true
			zones[h.AvailabilityZone] = true
		}
		must.MapLen(t, 4, zones)
	}
	must.MapLen(t, 14+12, seen)
}
