package snapshot

import (
	"strings"
	"time"

	"github.com/crocuscross/crocuscross/configpb"
)

// Document is the compiled form of an operator's document, which is a complete configuration.
// Unlike the route of a bundle, the route of a document is in force immediately, with or without
// backend servers, because a document also says what must not be served any more.
type Document struct {
	// Version is the number that the operator assigned to the document.
	Version      uint64
	Limits       ListenerLimits
	virtualHosts map[string]table[*DocumentRoute]
	accounts     accounts
	source       *configpb.Document
}

// VersionOrZero returns the version of the document, 0 if d is nil.
func (d *Document) VersionOrZero() uint64 {
	if d == nil {
		return 0
	}
	return d.Version
}

// ListenerLimits limits the size and duration of requests. A zero field sets no limit; the one in
// the daemon's settings then applies.
type ListenerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// DocumentRoute is a route of a document.
type DocumentRoute struct {
	Name string
	// Kind says whether the calls of the route may be retried.
	Kind configpb.CallKind
	// Timeout is the maximum time that a call may wait for its response. Objective is the time
	// within which the response has its full value to the caller. 0 means not set.
	Timeout, Objective time.Duration
	// Priority is the priority of the calls under overload; 0 is the highest.
	Priority int
	// MaxAttempts is the maximum number of backend servers that one call is sent to, 0 if not
	// set.
	MaxAttempts int
	// Public is whether calls need no API key.
	Public bool

	split       []splitTarget
	totalWeight uint32
}

// splitTarget is a service of a split. cumulativeWeight is the sum of its weight and the weights
// of the targets before it.
type splitTarget struct {
	service          string
	cumulativeWeight uint32
}

// NonIdempotent reports whether a call may be executed at most once.
func (r *DocumentRoute) NonIdempotent() bool {
	return r.Kind != configpb.CallKind_CALL_KIND_IDEMPOTENT
}

// PickService returns the service that a call is sent to; rnd returns a random number below its
// argument. Each target of a split gets calls in proportion to its weight, whether or not it has
// free capacity: an overloaded target must not shift its calls to another version of the service.
func (r *DocumentRoute) PickService(rnd func(uint32) uint32) string {
	if len(r.split) == 1 {
		return r.split[0].service
	}
	n := rnd(r.totalWeight)
	for _, p := range r.split {
		if n < p.cumulativeWeight {
			return p.service
		}
	}
	return r.split[len(r.split)-1].service
}

// Route returns the route with the longest matching prefix of a path on a virtual host. host may
// include a port.
func (d *Document) Route(host, path string) (*DocumentRoute, bool) {
	n := d.virtualHosts[virtualHost(host)].find(path)
	if n == nil {
		return nil, false
	}
	return n.value, true
}

// HealthPath returns the path of the health check of a service; ok is false if the document does
// not set one.
func (d *Document) HealthPath(service string) (path string, ok bool) {
	for _, s := range d.source.GetServices() {
		if s.GetName() == service && strings.HasPrefix(s.GetHealthPath(), "/") {
			return s.GetHealthPath(), true
		}
	}
	return "", false
}

// HasService reports whether the document contains a service.
func (d *Document) HasService(name string) bool {
	for _, s := range d.source.GetServices() {
		if s.GetName() == name {
			return true
		}
	}
	return false
}

// virtualHost returns the value of a Host header in lower case and without its port.
func virtualHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// buildDocument compiles the document of the state. It reuses the compiled document of prev if
// the document is the same.
func (s *Snapshot) buildDocument(prev *Snapshot) {
	d := s.State.Document()
	if d == nil {
		return
	}
	if prev != nil && prev.document != nil && prev.document.source == d {
		s.document = prev.document
		return
	}
	var accounts accounts
	if prev != nil && prev.document != nil {
		accounts = prev.document.accounts
	}
	s.document = newDocument(d, accounts)
}

// newDocument compiles a document. prev holds the accounts of the previous one.
func newDocument(d *configpb.Document, prev accounts) *Document {
	n := &Document{Version: d.GetVersion(), virtualHosts: make(map[string]table[*DocumentRoute]), source: d}
	n.accounts = newAccounts(d.GetAccounts(), prev)
	for _, r := range d.GetRoutes() {
		host := virtualHost(r.GetVirtualHost())
		n.virtualHosts[host] = append(n.virtualHosts[host], node[*DocumentRoute]{prefix: r.GetPathPrefix(), value: newDocumentRoute(r)})
	}
	for host, t := range n.virtualHosts {
		n.virtualHosts[host] = newTable(t)
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
		Public:      r.GetPublic(),
	}
	split := r.GetSplit()
	if len(split) == 0 {
		split = []*configpb.Split{{Service: r.GetService(), Weight: 1}}
	}
	for _, p := range split {
		n.totalWeight += p.GetWeight()
		n.split = append(n.split, splitTarget{p.GetService(), n.totalWeight})
	}
	return n
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
