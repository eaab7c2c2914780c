package snapshot

import (
	"strings"
	"time"

	"github.com/crocuscross/crocuscross/configpb"
)

// Document is a whole configuration of an operator, compiled for the request
// path. Unlike a route of a bundle, a route of a document is in force at once,
// with or without backend servers: the document says what may not be served any
// more as well.
type Document struct {
	// Version is the operator's own number.
	Version uint64
	Limits  ListenerLimits
	hosts   map[string]table[*DocumentRoute]
	source  *configpb.Document
}

// VersionOrZero returns the document's version, 0 where there is no document.
func (d *Document) VersionOrZero() uint64 {
	if d == nil {
		return 0
	}
	return d.Version
}

// ListenerLimits bound what callers may send; zero fields bound nothing.
type ListenerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// DocumentRoute is a route of a document.
type DocumentRoute struct {
	Name string
	// Kind tells what of the calls may be repeated.
	Kind configpb.CallKind
	// Timeout is the longest time a call may be kept waiting, Objective the time
	// within which its answer is worth its full value; 0 if not stated.
	Timeout, Objective time.Duration
	// Priority ranks the calls under overload, 0 first.
	Priority int
	// MaxAttempts is how many backend servers one call may be sent to, 0 if not
	// stated.
	MaxAttempts int

	parts []part
	total uint32
}

// part is a service with the weights of those before it and its own in sum.
type part struct {
	service string
	upTo    uint32
}

// NonIdempotent reports whether a call may run once at most.
func (r *DocumentRoute) NonIdempotent() bool {
	return r.Kind != configpb.CallKind_CALL_KIND_IDEMPOTENT
}

// PickService returns where a call goes; rnd returns a random number below its
// argument. Each part of a split gets its weight's share of the calls whether or
// not it has room: a part that is short of room must not move its calls to
// another version of the service.
func (r *DocumentRoute) PickService(rnd func(uint32) uint32) string {
	if len(r.parts) == 1 {
		return r.parts[0].service
	}
	n := rnd(r.total)
	for _, p := range r.parts {
		if n < p.upTo {
			return p.service
		}
	}
	return r.parts[len(r.parts)-1].service
}

// Route returns the route of a virtual host, which may have a port, and a path:
// the longest matching prefix.
func (d *Document) Route(host, path string) (*DocumentRoute, bool) {
	n := d.hosts[virtualHost(host)].find(path)
	if n == nil {
		return nil, false
	}
	return n.value, true
}

// HealthPath returns where the backend servers of a service tell of their health; ok
// is false where the document does not say.
func (d *Document) HealthPath(service string) (path string, ok bool) {
	for _, s := range d.source.GetServices() {
		if s.GetName() == service && strings.HasPrefix(s.GetHealthPath(), "/") {
			return s.GetHealthPath(), true
		}
	}
	return "", false
}

// HasService reports whether the document names a service.
func (d *Document) HasService(name string) bool {
	for _, s := range d.source.GetServices() {
		if s.GetName() == name {
			return true
		}
	}
	return false
}

// virtualHost returns a Host field's value without its port and in lower case.
func virtualHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// buildDocument compiles the state's document unless it is the one in force.
func (s *Snapshot) buildDocument(prev *Snapshot) {
	d := s.State.Document()
	if d == nil {
		return
	}
	if prev != nil && prev.document != nil && prev.document.source == d {
		s.document = prev.document
		return
	}
	s.document = newDocument(d)
}

func newDocument(d *configpb.Document) *Document {
	n := &Document{Version: d.GetVersion(), hosts: make(map[string]table[*DocumentRoute]), source: d}
	for _, r := range d.GetRoutes() {
		host := virtualHost(r.GetVirtualHost())
		n.hosts[host] = append(n.hosts[host], node[*DocumentRoute]{prefix: r.GetPathPrefix(), value: newDocumentRoute(r)})
	}
	for host, t := range n.hosts {
		n.hosts[host] = newTable(t)
	}
	l := d.GetLimits()
	n.Limits = ListenerLimits{
		MaxHeaderBytes: int(l.GetMaxHeaderBytes()),
		MaxBodyBytes:   int64(l.GetMaxBodyBytes()),
		HeaderTimeout:  milliseconds(l.GetHeaderTimeoutMs()),
		IdleTimeout:    milliseconds(l.GetIdleTimeoutMs()),
	}
	return n
}

func newDocumentRoute(r *configpb.DocumentRoute) *DocumentRoute {
	n := &DocumentRoute{
		Name:        r.GetName(),
		Kind:        r.GetKind(),
		Timeout:     milliseconds(r.GetTimeoutMs()),
		Objective:   milliseconds(r.GetLatencyObjectiveMs()),
		Priority:    int(r.GetPriority()),
		MaxAttempts: int(r.GetMaxAttempts()),
	}
	split := r.GetSplit()
	if len(split) == 0 {
		split = []*configpb.Split{{Service: r.GetService(), Weight: 1}}
	}
	for _, p := range split {
		n.total += p.GetWeight()
		n.parts = append(n.parts, part{p.GetService(), n.total})
	}
	return n
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
