package fold

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
)

// Limits on a document, in addition to those on names and prefixes.
const (
	MaxDocumentRoutes   = MaxResources
	MaxDocumentServices = 1024
	MaxDocumentAccounts = MaxResources
	MaxSplitParts       = 64
	MaxPriority         = 1 << 16
	MaxBurst            = 1e9
	// MaxDocumentBytes limits the size of a document's record: MaxDocumentRoutes routes of 256
	// bytes each. A state has to fit one message between daemons (16 MB) together with
	// MaxResourceBytes.
	MaxDocumentBytes = 4 << 20
)

// ErrBadDocument means that a document fails the checks of the fold.
var ErrBadDocument = errors.New("document is not valid")

// Document returns the latest accepted document, nil if there is none. The caller must not modify
// it.
func (s *State) Document() *configpb.Document { return s.document }

// EncodeDocument returns the serialized record of a document.
func EncodeDocument(d *configpb.Document) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(&configpb.Record{RuleVersion: documentRule(d), Document: d})
}

// documentRule returns the lowest rule that is sufficient for a document.
func documentRule(d *configpb.Document) uint32 {
	public := slices.ContainsFunc(d.GetRoutes(), (*configpb.DocumentRoute).GetPublic)
	if public || len(d.GetAccounts()) > 0 {
		return APIKeyRule
	}
	return DocumentRule
}

// WithLastDocument returns the state with the document in data if data is the record that s
// folded last and its document can be accepted, and otherwise s. It repairs a state from a daemon
// whose program has lower size limits: that daemon skips a document that this program accepts, so
// its state has the offset and chain of that record but still contains the previous document. A
// daemon that starts from such a state would otherwise serve the previous document until the
// operator's next version.
func (s *State) WithLastDocument(data []byte) *State {
	if !s.LastRecordIs(data) {
		return s
	}
	rec, reason, err := readRecord(s.Offset, data)
	if err != nil || reason != "" || rec.GetDocument() == nil || rec.GetRuleVersion() < DocumentRule {
		return s
	}
	n := s.mutableCopy()
	if v := n.decideDocument(rec); !v.Accepted {
		return s
	}
	n.rule = max(n.rule, rec.GetRuleVersion())
	return n
}

// FromDocument returns the state of a daemon that starts with the record of a document; see
// FromLatestRecords.
func FromDocument(offset uint64, data []byte) (*State, error) {
	return FromLatestRecords([]eventlog.Record{{Offset: offset, Data: data}})
}

// FromLatestRecords returns the state of a daemon that starts with the latest document and the
// latest rollout of each service, in the order of their offsets. It serves logs that keep only
// these records. The state equals that of a daemon that folded all records up to the last of
// them. The error is ErrBadDocument if the document is rejected, or an error of Apply.
func FromLatestRecords(records []eventlog.Record) (*State, error) {
	s := Empty()
	var reasons []string
	for _, r := range records {
		s = s.mutableCopy()
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

// CheckDocument runs the checks that do not depend on a state. It returns the reasons for which a
// document is rejected in every state.
func CheckDocument(d *configpb.Document) []string {
	var r reasons
	services := r.checkDocumentServices(d.GetServices())
	r.checkAccounts(d.GetAccounts())
	if n := len(d.GetRoutes()); n > MaxDocumentRoutes {
		r.addf("at most %d routes, this document has %d", MaxDocumentRoutes, n)
		return r
	}
	routeByPlace := make(map[string]string, len(d.GetRoutes()))
	for _, route := range d.GetRoutes() {
		k := Key{KindRoute, route.GetName()}
		if !r.checkName(k) {
			continue
		}
		r.checkPrefix(k, route.GetPathPrefix())
		r.checkTargets(k, route, services)
		place := route.GetVirtualHost() + route.GetPathPrefix()
		if other, taken := routeByPlace[place]; taken {
			r.addf("%s has the virtual host and path_prefix of route %s", k, other)
		}
		routeByPlace[place] = route.GetName()
	}
	return r
}

// checkDocumentServices checks the services of a document and returns the set of valid names.
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

// checkTargets checks the services that a route sends calls to, the kind of its calls, its
// timeout and its priority.
func (r *reasons) checkTargets(k Key, route *configpb.DocumentRoute, services map[string]bool) {
	if len(route.GetSplit()) == 0 && !services[route.GetService()] {
		r.addf("%s leads to the unknown service %q", k, route.GetService())
	}
	total := uint64(0)
	for _, target := range route.GetSplit() {
		if !services[target.GetService()] {
			r.addf("%s leads to the unknown service %q", k, target.GetService())
		}
		total += uint64(target.GetWeight())
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

// decideDocument replaces the document of the state if the new one is acceptable. s must not be
// shared yet.
func (s *State) decideDocument(rec *configpb.Record) Verdict {
	d := rec.GetDocument()
	v := Verdict{Offset: s.Offset}
	if s.document != nil && proto.Equal(d, s.document) {
		// The operator wrote the document again, for example after the log was restored from an
		// older copy.
		v.Accepted = true
		return v
	}
	r := reasons(CheckDocument(d))
	if need := documentRule(d); rec.GetRuleVersion() < need {
		r.addf("a document with accounts or public routes needs rule %d or later", need)
	}
	if s.document != nil && d.GetVersion() <= s.document.GetVersion() {
		r.addf("document version %d does not follow version %d", d.GetVersion(), s.document.GetVersion())
	}
	if len(r) > 0 {
		v.Reasons = r.truncate()
		return v
	}
	s.document = d
	v.Accepted = true
	return v
}
