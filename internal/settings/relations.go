package settings

import (
	"fmt"

	"github.com/tailscale/hujson"
)

// relations checks fields against each other. A relation with a field that is
// wrong by itself is left out, since its value is not known.
func (c *checker) relations() {
	s := &c.settings
	if c.good("membership.probe_timeout", "membership.probe_interval") &&
		s.Membership.ProbeTimeout >= s.Membership.ProbeInterval {
		c.relation("membership.probe_timeout",
			fmt.Sprintf("%s is not below membership.probe_interval", s.Membership.ProbeTimeout),
			fmt.Sprintf("use less than %s", s.Membership.ProbeInterval))
	}
	if c.good("membership.suspicion_timeout", "membership.probe_interval") &&
		s.Membership.SuspicionTimeout < s.Membership.ProbeInterval {
		c.relation("membership.suspicion_timeout",
			fmt.Sprintf("%s is below membership.probe_interval", s.Membership.SuspicionTimeout),
			fmt.Sprintf("use at least %s", s.Membership.ProbeInterval))
	}
	if c.good("trace.exporter", "trace.endpoint") && s.Trace.Exporter == "otlp" && s.Trace.Endpoint == "" {
		c.relation("trace.exporter", "otlp needs trace.endpoint", "set trace.endpoint to the collector's URL")
	}
	c.distinctListeners()
}

// distinctListeners refuses one address for two listeners: the second would
// fail to start only after the first has taken in clients of the wrong kind.
func (c *checker) distinctListeners() {
	l := c.settings.Listen
	list := []struct{ path, address string }{
		{"listen.callers", l.Callers}, {"listen.peers", l.Peers},
		{"listen.operators", l.Operators}, {"listen.metrics", l.Metrics}, {"listen.backend", l.Backend},
	}
	for i, a := range list {
		for _, b := range list[:i] {
			if a.address != "" && a.address == b.address {
				c.relation(a.path, "is the same address as "+b.path, "use a port of its own")
			}
		}
	}
}

func (c *checker) good(paths ...string) bool {
	for _, p := range paths {
		if c.bad[p] {
			return false
		}
	}
	return true
}

// relation reports at the field if the file sets it, or else at the group.
func (c *checker) relation(path, text, want string) {
	f, _ := fieldAt(path)
	group, _ := f.group()
	for _, v := range []*hujson.Value{c.seen[path], c.seen[group], c.doc.Root} {
		if v != nil {
			c.report(v, path, text, want)
			return
		}
	}
}
