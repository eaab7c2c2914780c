package settings

import (
	"fmt"

	"github.com/tailscale/hujson"
)

// checkRelations checks constraints between fields. A constraint on a field whose own value is
// invalid is skipped, because the intended value is unknown.
func (c *checker) checkRelations() {
	s := &c.settings
	if c.allValid("membership.probe_timeout", "membership.probe_interval") &&
		s.Membership.ProbeTimeout >= s.Membership.ProbeInterval {
		c.reportRelation("membership.probe_timeout",
			fmt.Sprintf("%s is not below membership.probe_interval", s.Membership.ProbeTimeout),
			fmt.Sprintf("use less than %s", s.Membership.ProbeInterval))
	}
	if c.allValid("membership.suspicion_timeout", "membership.probe_interval") &&
		s.Membership.SuspicionTimeout < s.Membership.ProbeInterval {
		c.reportRelation("membership.suspicion_timeout",
			fmt.Sprintf("%s is below membership.probe_interval", s.Membership.SuspicionTimeout),
			fmt.Sprintf("use at least %s", s.Membership.ProbeInterval))
	}
	if c.allValid("trace.exporter", "trace.endpoint") && s.Trace.Exporter == "otlp" && s.Trace.Endpoint == "" {
		c.reportRelation("trace.exporter", "otlp needs trace.endpoint", "set trace.endpoint to the collector's URL")
	}
	c.checkDistinctListeners()
}

// checkDistinctListeners reports two listeners with the same address. Otherwise, the second
// listener would fail to start only after the first has accepted clients that are meant for the
// second.
func (c *checker) checkDistinctListeners() {
	l := c.settings.Listen
	list := []struct{ path, address string }{
		{"listen.callers", l.Callers}, {"listen.peers", l.Peers},
		{"listen.operators", l.Operators}, {"listen.metrics", l.Metrics}, {"listen.backend", l.Backend},
	}
	for i, a := range list {
		for _, b := range list[:i] {
			if a.address != "" && a.address == b.address {
				c.reportRelation(a.path, "is the same address as "+b.path, "use a port of its own")
			}
		}
	}
}

// allValid reports whether none of the fields with these paths is invalid.
func (c *checker) allValid(paths ...string) bool {
	for _, p := range paths {
		if c.invalid[p] {
			return false
		}
	}
	return true
}

// reportRelation reports a problem with a field at the field's value if the file sets it, else at
// the field's group, else at the file's root.
func (c *checker) reportRelation(path, text, want string) {
	f, _ := fieldByPath(path)
	group, _ := f.group()
	for _, v := range []*hujson.Value{c.values[path], c.values[group], c.doc.Root} {
		if v != nil {
			c.report(v, path, text, want)
			return
		}
	}
}
