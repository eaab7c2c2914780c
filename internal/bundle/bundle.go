// Package bundle reads the file that an operator publishes: JSON with comments
// that names an author and a list of changes. Mistakes are told all at once,
// each with its place.
//
//	{
//		"author": "jane",
//		"changes": [
//			{"service": {"name": "sign-feed"}},
//			{"route": {"name": "signs", "path_prefix": "/signs/", "service": "sign-feed"}, "replaces": 12},
//			{"delete": {"contract": "garage-7"}, "replaces": 9},
//		],
//	}
//
// A resource has the field names of its message in configpb.
package bundle

import (
	"strconv"

	"github.com/tailscale/hujson"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/jsonc"
)

// Names in the file.
const (
	fieldAuthor   = "author"
	fieldChanges  = "changes"
	fieldReplaces = "replaces"
	fieldDelete   = "delete"

	kindService  = "service"
	kindRoute    = "route"
	kindContract = "contract"
)

var (
	fileFields     = []string{fieldAuthor, fieldChanges}
	resourceFields = []string{kindContract, kindRoute, kindService}
	changeFields   = append([]string{fieldDelete, fieldReplaces}, resourceFields...)
)

// File is what the operator wrote.
type File struct {
	Author  string
	Changes []Change
}

// Change is one change of a file.
type Change struct {
	*configpb.Change
	// NamesRevision is whether the file says which revision is replaced. Without
	// it the publisher fills the revision in.
	NamesRevision bool
}

// ReadFile reads and checks a file. The error of a file that was read is a
// jsonc.Problems.
func ReadFile(path string) (*File, error) {
	d, err := jsonc.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return check(d)
}

// Parse is ReadFile for bytes that are at hand.
func Parse(name string, raw []byte) (*File, error) {
	d, err := jsonc.Parse(name, raw)
	if err != nil {
		return nil, err
	}
	return check(d)
}

// parser gathers what is wrong with a file.
type parser struct {
	doc      *jsonc.Document
	problems jsonc.Problems
}

func check(d *jsonc.Document) (*File, error) {
	p := &parser{doc: d}
	f := p.file(d.Root)
	if err := p.problems.Err(); err != nil {
		return nil, err
	}
	return f, nil
}

func (p *parser) report(v *hujson.Value, path, text, want string) {
	p.problems = append(p.problems, p.doc.Problem(v, path, text, want))
}

func (p *parser) file(v *hujson.Value) *File {
	f := &File{}
	members := p.object(v, "", fileFields)
	if m, ok := members[fieldAuthor]; ok {
		f.Author = p.text(m, fieldAuthor)
	}
	m, ok := members[fieldChanges]
	if !ok {
		if len(p.problems) == 0 {
			p.report(v, fieldChanges, "is missing", "use an array of changes")
		}
		return f
	}
	p.changes(f, m)
	return f
}

func (p *parser) changes(f *File, v *hujson.Value) {
	elements, ok := jsonc.Elements(v)
	if !ok {
		p.report(v, fieldChanges, "is "+jsonc.KindName(v), "use an array of changes")
		return
	}
	if len(elements) == 0 || len(elements) > fold.MaxChanges {
		p.report(v, fieldChanges, "has "+strconv.Itoa(len(elements))+" changes",
			"use 1 to "+strconv.Itoa(fold.MaxChanges))
		return
	}
	seen := map[fold.Key]bool{}
	for i, e := range elements {
		path := fieldChanges + "[" + strconv.Itoa(i) + "]"
		c, ok := p.change(e, path)
		if !ok {
			continue
		}
		key, _ := fold.KeyOf(c.GetResource())
		if seen[key] {
			p.report(e, path, key.String()+" is changed twice", "keep one change of it")
		}
		seen[key] = true
		f.Changes = append(f.Changes, c)
	}
}

// change parses one change; ok is false if it has a mistake.
func (p *parser) change(v *hujson.Value, path string) (c Change, ok bool) {
	before := len(p.problems)
	members := p.object(v, path, changeFields)
	if len(p.problems) > before {
		return c, false
	}
	c.Change = &configpb.Change{}
	if m, ok := members[fieldReplaces]; ok {
		c.NamesRevision = true
		c.Replaces = p.revision(m, jsonc.Join(path, fieldReplaces))
	}
	p.resource(c.Change, v, path, members)
	if len(p.problems) > before {
		return c, false
	}
	p.judge(c.Change, v, path)
	return c, len(p.problems) == before
}

// resource fills the one resource that a change sets or deletes.
func (p *parser) resource(c *configpb.Change, v *hujson.Value, path string, members map[string]*hujson.Value) {
	var found []string
	for _, name := range append([]string{fieldDelete}, resourceFields...) {
		if members[name] != nil {
			found = append(found, name)
		}
	}
	if len(found) != 1 {
		p.report(v, path, "names "+strconv.Itoa(len(found))+" resources",
			"use one of contract, route, service or delete")
		return
	}
	name := found[0]
	if name == fieldDelete {
		c.Delete = true
		c.Resource = p.deleted(members[name], jsonc.Join(path, name))
		return
	}
	c.Resource = p.set(name, members[name], jsonc.Join(path, name))
}

// deleted reads {"route": "name"}.
func (p *parser) deleted(v *hujson.Value, path string) *configpb.Resource {
	members := p.object(v, path, resourceFields)
	if len(members) != 1 {
		p.report(v, path, "names "+strconv.Itoa(len(members))+" resources", `use one, such as {"route": "name"}`)
		return nil
	}
	for kind, m := range members {
		name := p.text(m, jsonc.Join(path, kind))
		switch kind {
		case kindService:
			return &configpb.Resource{Kind: &configpb.Resource_Service{Service: &configpb.Service{Name: name}}}
		case kindRoute:
			return &configpb.Resource{Kind: &configpb.Resource_Route{Route: &configpb.Route{Name: name}}}
		case kindContract:
			return &configpb.Resource{Kind: &configpb.Resource_Contract{Contract: &configpb.Contract{Customer: name}}}
		}
	}
	return nil
}

// set reads a whole resource.
func (p *parser) set(kind string, v *hujson.Value, path string) *configpb.Resource {
	before := len(p.problems)
	r := &configpb.Resource{}
	field := r.ProtoReflect().Descriptor().Fields().ByTextName(kind)
	p.message(field.Message(), v, path)
	if len(p.problems) > before {
		return nil
	}
	raw := append([]byte(`{"`+kind+`":`), append(jsonc.Standard(v), '}')...)
	if err := protojson.Unmarshal(raw, r); err != nil {
		p.report(v, path, "cannot be read: "+err.Error(), "")
	}
	return r
}

// judge reports what the fold would reject in every state.
func (p *parser) judge(c *configpb.Change, v *hujson.Value, path string) {
	alone := &configpb.Bundle{PublishId: "check", Changes: []*configpb.Change{c}}
	for _, reason := range fold.CheckBundle(alone) {
		p.report(v, path, reason, "")
	}
}
