package fold

import (
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
)

// Bounds on a document, beside those on names and prefixes.
const (
	MaxDocumentRoutes   = MaxResources
	MaxDocumentServices = 1024
	MaxSplitParts       = 64
	MaxPriority         = 1 << 16
	// MaxDocumentBytes bounds a document's record: MaxDocumentRoutes routes of 256
	// bytes. A state has to fit one message between daemons (16 MB) beside
	// MaxResourceBytes.
	MaxDocumentBytes = 4 << 20
)

// ErrBadDocument means that a document contradicts itself.
var ErrBadDocument = errors.New("document is not valid")

// Document returns the latest document, nil if there has been none. It must not
// be changed.
func (s *State) Document() *configpb.Document { return s.document }

// EncodeDocument returns the record of a document.
func EncodeDocument(d *configpb.Document) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(&configpb.Record{RuleVersion: DocumentRule, Document: d})
}

// WithLastDocument returns the state with the document of the record that s folded
// last, s itself where it has that already or where the record is none or cannot be
// accepted. A program with narrower bounds passes over documents that this one takes,
// and hands out a state that names their offset and chain and holds the document
// before; without a second look a daemon that starts from it serves that one until
// the operator's next version.
func (s *State) WithLastDocument(data []byte) *State {
	if !s.LastRecordIs(data) {
		return s
	}
	rec, fault, err := readRecord(s.Offset, data)
	if err != nil || fault != "" || rec.GetDocument() == nil || rec.GetRuleVersion() < DocumentRule {
		return s
	}
	n := s.next()
	if v := n.decideDocument(rec); !v.Accepted {
		return s
	}
	n.rule = max(n.rule, rec.GetRuleVersion())
	return n
}

// FromDocument returns the state of a daemon that begins with the record of a
// document; see FromLatest.
func FromDocument(offset uint64, data []byte) (*State, error) {
	return FromLatestRecords([]eventlog.Record{{Offset: offset, Data: data}})
}

// FromLatestRecords returns the state of a daemon that begins with the latest document and the
// latest rollout of each service, in the order of their offsets, for a log that keeps
// these alone. The state equals that of a daemon that folded all records up to the last
// of them. The error is ErrBadDocument where the document would have been rejected.
func FromLatestRecords(records []eventlog.Record) (*State, error) {
	s := Empty()
	var reasons []string
	for _, r := range records {
		s = s.next()
		s.Offset = r.Offset - 1
		next, v, err := Apply(s, r.Offset, r.Data)
		if err != nil {
			return nil, err
		}
		s, reasons = next, append(reasons, v.Reasons...)
	}
	if s.document == nil {
		return nil, errors.Wrapf(ErrBadDocument, "record %d: %s", s.Offset, strings.Join(reasons, "; "))
	}
	return s, nil
}

// CheckDocument returns what is wrong with a document, whatever the state.
func CheckDocument(d *configpb.Document) []string {
	var r reasons
	services := r.checkDocumentServices(d.GetServices())
	if n := len(d.GetRoutes()); n > MaxDocumentRoutes {
		r.addf("at most %d routes, this document has %d", MaxDocumentRoutes, n)
		return r
	}
	places := make(map[string]string, len(d.GetRoutes()))
	for _, route := range d.GetRoutes() {
		k := Key{KindRoute, route.GetName()}
		if !r.checkName(k) {
			continue
		}
		r.checkPrefix(k, route.GetPathPrefix())
		r.checkTargets(k, route, services)
		place := route.GetVirtualHost() + route.GetPathPrefix()
		if other, taken := places[place]; taken {
			r.addf("%s has the virtual host and path_prefix of route %s", k, other)
		}
		places[place] = route.GetName()
	}
	return r
}

func (r *reasons) checkDocumentServices(list []*configpb.DocumentService) map[string]bool {
	if len(list) > MaxDocumentServices {
		r.addf("at most %d services, this document has %d", MaxDocumentServices, len(list))
	}
	known := make(map[string]bool, len(list))
	for _, s := range list {
		if r.checkName(Key{KindService, s.GetName()}) {
			known[s.GetName()] = true
		}
	}
	return known
}

// checkTargets checks where a route leads and how its calls are treated.
func (r *reasons) checkTargets(k Key, route *configpb.DocumentRoute, services map[string]bool) {
	if len(route.GetSplit()) == 0 && !services[route.GetService()] {
		r.addf("%s leads to the unknown service %q", k, route.GetService())
	}
	total := uint64(0)
	for _, part := range route.GetSplit() {
		if !services[part.GetService()] {
			r.addf("%s leads to the unknown service %q", k, part.GetService())
		}
		total += uint64(part.GetWeight())
	}
	if len(route.GetSplit()) > MaxSplitParts || len(route.GetSplit()) > 0 && total == 0 {
		r.addf("%s: a split must have at most %d parts and some weight", k, MaxSplitParts)
	}
	if route.GetKind() == configpb.CallKind_CALL_KIND_UNSPECIFIED {
		r.addf("%s has no kind of call", k)
	}
	if route.GetTimeoutMs() > MaxWaitMs || route.GetPriority() > MaxPriority {
		r.addf("%s: timeout_ms must be at most %d, priority at most %d", k, MaxWaitMs, MaxPriority)
	}
}

// decideDocument puts a document in the place of all before it if it is
// acceptable. s must not have been handed out yet.
func (s *State) decideDocument(rec *configpb.Record) Verdict {
	d := rec.GetDocument()
	v := Verdict{Offset: s.Offset}
	if s.document != nil && proto.Equal(d, s.document) {
		// Written again, say after the log was restored from an older copy.
		v.Accepted = true
		return v
	}
	r := reasons(CheckDocument(d))
	if s.document != nil && d.GetVersion() <= s.document.GetVersion() {
		r.addf("document version %d does not follow version %d", d.GetVersion(), s.document.GetVersion())
	}
	if len(r) > 0 {
		v.Reasons = r.trim()
		return v
	}
	s.document = d
	v.Accepted = true
	return v
}
