// Package bundle parses the file that an operator publishes: JSON with comments that contains an
// author and a list of changes. All mistakes in a file are reported at once, each with its position.
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
// The fields of a resource have the names of the fields of its message in configpb.
package bundle

import (
	"strconv"

	"github.com/tailscale/hujson"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/jsonc"
)

// Field names in the file.
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

// File is the content of a publish file.
type File struct {
	Author  string
	Changes []Change
}

// Change sets or deletes one resource.
type Change struct {
	*configpb.Change
	// NamesRevision is set if the file states the replaced revision. If it is not set, Replaces is 0
	// and the publisher chooses the revision.
	NamesRevision bool
}

// ReadFile reads, parses and checks a file. If the file could be read but is not valid, the error
// is a jsonc.Problems.
func ReadFile(path string) (*File, error) {
	d, err := jsonc.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return check(d)
}

// Parse parses and checks the content of a file. The name identifies the file in errors, which are
// of type jsonc.Problems.
func Parse(name string, raw []byte) (*File, error) {
	d, err := jsonc.Parse(name, raw)
	if err != nil {
		return nil, err
	}
	return check(d)
}

// parser checks a document and collects its problems.
type parser struct {
	doc      *jsonc.Document
	problems jsonc.Problems
}

// check converts a document to a File. The error contains all problems.
func check(d *jsonc.Document) (*File, error) {
	p := &parser{doc: d}
	f := p.file(d.Root)
	if err := p.problems.Err(); err != nil {
		return nil, err
	}
	return f, nil
}

// report adds a problem at a value. The path is that of the field, text states the mistake and want
// the correction.
func (p *parser) report(v *hujson.Value, path, text, want string) {
	p.problems = append(p.problems, p.doc.Problem(v, path, text, want))
}

// file parses the top-level object. It reports missing changes only if there is no other problem,
// which may be a misspelled name of the field.
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

// changes parses the array of changes and adds the valid ones to f. It reports a resource that is
// changed twice.
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

// change parses one change; ok is false if it has a problem.
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
	p.checkChange(c.Change, v, path)
	return c, len(p.problems) == before
}

// resource sets the resource of c from the members of a change, of which exactly one must name a
// resource to set or to delete.
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
		c.Resource = p.parseDeleted(members[name], jsonc.Join(path, name))
		return
	}
	c.Resource = p.parseResource(name, members[name], jsonc.Join(path, name))
}

// parseDeleted parses the resource to delete, such as {"route": "name"}. It returns nil after it has
// reported a problem with the object.
func (p *parser) parseDeleted(v *hujson.Value, path string) *configpb.Resource {
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

// parseResource parses a resource of the given kind with all its fields. It checks them against the message's
// descriptor first, because the errors of protojson contain no position in the file.
func (p *parser) parseResource(kind string, v *hujson.Value, path string) *configpb.Resource {
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

// checkChange reports the reasons for which the fold would reject a change in every state.
func (p *parser) checkChange(c *configpb.Change, v *hujson.Value, path string) {
	single := &configpb.Bundle{PublishId: "check", Changes: []*configpb.Change{c}}
	for _, reason := range fold.CheckBundle(single) {
		p.report(v, path, reason, "")
	}
}
