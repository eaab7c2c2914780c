package fold

import (
	"bytes"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
)

// document returns a valid document with one route.
func document(version uint64, prefix string) *configpb.Document {
	return &configpb.Document{
		Version:  version,
		Services: []*configpb.DocumentService{{Name: "signs"}, {Name: "ops"}},
		Routes: []*configpb.DocumentRoute{{
			Name: "r", VirtualHost: "a.example", PathPrefix: prefix, Service: "signs",
			Kind: configpb.CallKind_CALL_KIND_IDEMPOTENT,
		}},
	}
}

func digest(b byte) []byte { return bytes.Repeat([]byte{b}, 32) }

func documentRecord(t *testing.T, d *configpb.Document) []byte {
	t.Helper()
	data, err := EncodeDocument(d)
	must.NoError(t, err)
	return data
}

func TestDocumentReplacesEarlierRecords(t *testing.T) {
	first, second := documentRecord(t, document(3, "/a/")), documentRecord(t, document(7, "/b/"))
	s, v, err := Apply(Empty(), 1, first)
	must.NoError(t, err)
	must.True(t, v.Accepted)
	s, v, err = Apply(s, 2, second)
	must.NoError(t, err)
	must.True(t, v.Accepted)
	must.Eq(t, "/b/", s.Document().GetRoutes()[0].GetPathPrefix())

	// A daemon that starts after the log has dropped the first record reaches the same state and
	// chain.
	late, err := FromDocument(2, second)
	must.NoError(t, err)
	must.Eq(t, s.Chain, late.Chain)
	must.True(t, s.LastRecordIs(second))
	must.False(t, s.LastRecordIs(first))
	decoded, err := Decode(late.Encode())
	must.NoError(t, err)
	must.Eq(t, s.Chain, decoded.Chain)
	must.Eq(t, uint64(7), decoded.Document().GetVersion())
}

func TestDocumentRejected(t *testing.T) {
	base, _, err := Apply(Empty(), 1, documentRecord(t, document(5, "/a/")))
	must.NoError(t, err)
	for name, change := range map[string]func(d *configpb.Document){
		"lower version":            func(d *configpb.Document) { d.Version = 4 },
		"same version":             func(d *configpb.Document) { d.Version = 5 },
		"unknown service":          func(d *configpb.Document) { d.Routes[0].Service = "nobody" },
		"no kind":                  func(d *configpb.Document) { d.Routes[0].Kind = 0 },
		"bad prefix":               func(d *configpb.Document) { d.Routes[0].PathPrefix = "a" },
		"timeout too long":         func(d *configpb.Document) { d.Routes[0].TimeoutMs = MaxWaitMs + 1 },
		"split has no weight":      func(d *configpb.Document) { d.Routes[0].Split = []*configpb.Split{{Service: "ops"}} },
		"split to unknown service": func(d *configpb.Document) { d.Routes[0].Split = []*configpb.Split{{Service: "x", Weight: 1}} },
		"repeated route":           func(d *configpb.Document) { d.Routes = append(d.Routes, d.Routes[0]) },
		"account without a name":   func(d *configpb.Document) { d.Accounts = []*configpb.DocumentAccount{{}} },
		"repeated account":         func(d *configpb.Document) { d.Accounts = []*configpb.DocumentAccount{{Name: "a"}, {Name: "a"}} },
		"short key digest": func(d *configpb.Document) {
			d.Accounts = []*configpb.DocumentAccount{{Name: "a", KeyDigests: [][]byte{{1}}}}
		},
		"key of two accounts": func(d *configpb.Document) {
			d.Accounts = []*configpb.DocumentAccount{{Name: "a", KeyDigests: [][]byte{digest(1)}}, {Name: "b", KeyDigests: [][]byte{digest(1)}}}
		},
		"negative rate": func(d *configpb.Document) { d.Accounts = []*configpb.DocumentAccount{{Name: "a", RatePerSecond: -1}} },
		"rate not a number": func(d *configpb.Document) {
			d.Accounts = []*configpb.DocumentAccount{{Name: "a", RatePerSecond: math.NaN()}}
		},
		"infinite burst": func(d *configpb.Document) { d.Accounts = []*configpb.DocumentAccount{{Name: "a", Burst: math.Inf(1)}} },
	} {
		t.Run(name, func(t *testing.T) {
			d := document(6, "/b/")
			change(d)
			s, v, err := Apply(base, 2, documentRecord(t, d))
			must.NoError(t, err)
			must.False(t, v.Accepted)
			must.Positive(t, len(v.Reasons))
			must.Eq(t, 2, s.Offset)
			must.Eq(t, uint64(5), s.Document().GetVersion())
		})
	}
}

func TestFromDocumentRejectsInvalidDocument(t *testing.T) {
	d := document(6, "/b/")
	d.Routes[0].Service = "nobody"
	_, err := FromDocument(4, documentRecord(t, d))
	must.ErrorIs(t, err, ErrBadDocument)
}

// The operator writes a document as one record, so the size limit of a daemon's append must not
// apply to it. With that limit, the fold would skip the document, advance the offset and keep the
// previous document in force without any error.
func TestDocumentLargerThanOneAppend(t *testing.T) {
	d := document(5, "/a/")
	for i := range 10_000 {
		d.Routes = append(d.Routes, &configpb.DocumentRoute{
			Name: fmt.Sprintf("r-%d", i), VirtualHost: "b.example", PathPrefix: fmt.Sprintf("/%d/", i), Service: "ops",
			Kind: configpb.CallKind_CALL_KIND_NON_IDEMPOTENT, TimeoutMs: 5000,
		})
	}
	data := documentRecord(t, d)
	must.Greater(t, eventlog.MaxRecordBytes, len(data))
	s, v, err := Apply(Empty(), 1, data)
	must.NoError(t, err)
	must.True(t, v.Accepted, must.Sprint(v.Reasons))
	must.Eq(t, uint64(5), s.Document().GetVersion())
	late, err := FromDocument(1, data)
	must.NoError(t, err)
	decoded, err := Decode(late.Encode())
	must.NoError(t, err)
	must.Eq(t, s.Chain, decoded.Chain)
}

// A daemon starts from the state of a daemon whose program skipped a large document. That state
// has the offset and chain of the log but contains the previous document; the new daemon must
// check the last record again, or it would serve the previous document.
func TestWithLastDocumentRepairsStateWithOldDocument(t *testing.T) {
	before, _, err := Apply(Empty(), 1, documentRecord(t, document(5, "/a/")))
	must.NoError(t, err)
	last := documentRecord(t, document(6, "/b/"))
	current, _, err := Apply(before, 2, last)
	must.NoError(t, err)
	m := current.Encode()
	m.Document = before.Document()
	outdated, err := Decode(m)
	must.NoError(t, err)
	must.Eq(t, uint64(5), outdated.Document().GetVersion())

	repaired := outdated.WithLastDocument(last)
	must.Eq(t, uint64(6), repaired.Document().GetVersion())
	must.Eq(t, current.Chain, repaired.Chain)
	must.Eq(t, uint64(5), outdated.Document().GetVersion(), must.Sprint("states are immutable"))
	for what, same := range map[string]*State{
		"already current": current.WithLastDocument(last),
		"another record":  outdated.WithLastDocument(documentRecord(t, document(7, "/c/"))),
		"not a record":    outdated.WithLastDocument([]byte("x")),
		"empty state":     Empty().WithLastDocument(last),
	} {
		must.Less(t, 7, same.Document().GetVersion(), must.Sprint(what))
	}
}

// A later rule may allow records that are too large under the current one. The fold must stop
// before such a record, not skip it.
func TestUnknownRuleIsCheckedBeforeSize(t *testing.T) {
	data := mustMarshal(&configpb.Record{RuleVersion: RuleVersion + 1, Bundle: &configpb.Bundle{Author: strings.Repeat("a", MaxDocumentBytes+1)}})
	_, _, err := Apply(Empty(), 1, data)
	var unknown *UnknownRuleError
	must.True(t, errors.As(err, &unknown))
}

// A document larger than MaxDocumentBytes is rejected both as a record and as part of a state.
func TestDocumentSizeLimit(t *testing.T) {
	d := document(5, "/a/")
	for i := range 5000 {
		d.Routes = append(d.Routes, &configpb.DocumentRoute{
			Name: fmt.Sprintf("r-%d", i), VirtualHost: "b.example", Service: "ops",
			PathPrefix: fmt.Sprintf("/%s%d/", strings.Repeat("p", 900), i),
			Kind:       configpb.CallKind_CALL_KIND_NON_IDEMPOTENT,
		})
	}
	s, v, err := Apply(Empty(), 1, documentRecord(t, d))
	must.NoError(t, err)
	must.False(t, v.Accepted)
	must.Eq(t, 1, s.Offset)
	must.Nil(t, s.Document())
	m := s.Encode()
	m.Document = d
	_, err = Decode(m)
	must.ErrorIs(t, err, ErrBadState)
}

// A program that does not know accounts would serve calls without a key, so it must stop before a
// document that has some. Documents without accounts must stay readable for it.
func TestDocumentRuleIsTheLowestSufficient(t *testing.T) {
	d := document(6, "/b/")
	must.Eq(t, uint32(DocumentRule), ruleOf(t, documentRecord(t, d)))
	d.Routes[0].Public = true
	must.Eq(t, uint32(APIKeyRule), ruleOf(t, documentRecord(t, d)))
	d.Routes[0].Public = false
	d.Accounts = []*configpb.DocumentAccount{{Name: "a", KeyDigests: [][]byte{digest(1), digest(1), digest(2)}}}
	must.Eq(t, uint32(APIKeyRule), ruleOf(t, documentRecord(t, d)))
	low := mustMarshal(&configpb.Record{RuleVersion: DocumentRule, Document: d})
	_, v, err := Apply(Empty(), 1, low)
	must.NoError(t, err)
	must.False(t, v.Accepted)
	_, v, err = Apply(Empty(), 1, documentRecord(t, d))
	must.NoError(t, err)
	must.True(t, v.Accepted)
	must.Eq(t, uint32(BundleRule), ruleOf(t, bundle("1", "ann", set(contract("c", 1), 0))))
	must.Eq(t, uint32(APIKeyRule), ruleOf(t, bundle("1", "ann", set(apiKey("k", "c", 1), 0))))
}

func ruleOf(t *testing.T, data []byte) uint32 {
	t.Helper()
	rule, ok := parseRuleVersion(data)
	must.True(t, ok)
	return rule
}
