package snapshot

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/fold"
)

func documentState(offset uint64, d *configpb.Document) *fold.State {
	data, err := fold.EncodeDocument(d)
	if err != nil {
		panic(err)
	}
	st, err := fold.FromDocument(offset, data)
	if err != nil {
		panic(err)
	}
	return st
}

func testDocument() *configpb.Document {
	idempotent := configpb.CallKind_CALL_KIND_IDEMPOTENT
	return &configpb.Document{
		Version:  4,
		Services: []*configpb.DocumentService{{Name: "one"}, {Name: "two"}},
		Routes: []*configpb.DocumentRoute{
			{Name: "a", VirtualHost: "h.example", PathPrefix: "/a/", Service: "one", Kind: idempotent, TimeoutMs: 2000},
			{Name: "ab", VirtualHost: "h.example", PathPrefix: "/a/b/", Kind: configpb.CallKind_CALL_KIND_UPLOAD,
				Split: []*configpb.Split{{Service: "one", Weight: 90}, {Service: "two", Weight: 10}}},
			{Name: "other", VirtualHost: "other.example", PathPrefix: "/a/", Service: "two", Kind: idempotent},
		},
		Limits: &configpb.ListenerLimits{MaxHeaderBytes: 16384, IdleTimeoutMs: 15000},
	}
}

// The routes of a document are in force immediately, even if no backend server is known.
func TestDocumentRoutes(t *testing.T) {
	s := Build(nil, documentState(9, testDocument()), backends())
	d := s.Document()
	must.Eq(t, 15*time.Second, d.Limits.IdleTimeout)
	for _, c := range []struct{ host, path, want string }{
		{"h.example", "/a/x", "a"},
		{"H.Example:8080", "/a/b/x", "ab"},
		{"other.example", "/a/b/x", "other"},
		{"h.example", "/a", ""},
		{"h.example", "/", ""},
		{"nobody.example", "/a/x", ""},
	} {
		r, ok := d.Route(c.host, c.path)
		must.Eq(t, c.want != "", ok, must.Sprint(c))
		if ok {
			must.Eq(t, c.want, r.Name)
		}
	}
}

// Each target of a split gets calls in proportion to its weight, and uploads are non-idempotent.
func TestDocumentSplit(t *testing.T) {
	s := Build(nil, documentState(9, testDocument()), backends())
	r, _ := s.Document().Route("h.example", "/a/b/x")
	must.True(t, r.NonIdempotent())
	got := map[string]int{}
	next := uint32(0)
	for range 100 {
		got[r.PickService(func(n uint32) uint32 { next = (next + 1) % n; return next })]++
	}
	must.Eq(t, map[string]int{"one": 90, "two": 10}, got)
}

// A change of backend servers does not compile the document again.
func TestUnchangedDocumentIsReused(t *testing.T) {
	st := documentState(9, testDocument())
	s := Build(nil, st, backends())
	must.True(t, s.Document() == Build(s, st, backends("one")).Document())
}
