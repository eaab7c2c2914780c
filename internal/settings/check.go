package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"github.com/crocuscross/crocuscross/internal/jsonc"
)

// checker walks a file and gathers what is wrong with it.
type checker struct {
	doc      *jsonc.Document
	settings Settings
	problems jsonc.Problems
	// seen holds the value of each field in the file.
	seen map[string]*hujson.Value
	// bad holds the fields that keep their default since their value is wrong.
	bad map[string]bool
}

// check returns the settings of a file, or a jsonc.Problems.
func check(d *jsonc.Document) (*Settings, error) {
	c := &checker{doc: d, settings: Default(), seen: map[string]*hujson.Value{}, bad: map[string]bool{}}
	c.object("", d.Root)
	c.missing()
	c.relations()
	if err := c.problems.Err(); err != nil {
		return nil, err
	}
	return &c.settings, nil
}

func (c *checker) report(v *hujson.Value, path, text, want string) {
	c.problems = append(c.problems, c.doc.Problem(v, path, text, want))
}

// object checks the members of the top level or of one group.
func (c *checker) object(path string, v *hujson.Value) {
	members, ok := jsonc.Members(v)
	if !ok {
		c.report(v, path, "is "+jsonc.KindName(v), "use an object")
		for _, f := range Fields {
			if group, _ := f.group(); group == path {
				c.bad[f.Path] = true
			}
		}
		return
	}
	for _, m := range members {
		c.member(path, m)
	}
}

func (c *checker) member(parent string, m jsonc.Member) {
	path := jsonc.Join(parent, m.Key)
	if c.seen[path] != nil {
		c.report(m.Name, path, "is set twice", "keep one")
		return
	}
	if parent == "" && isGroup(m.Key) {
		c.seen[path] = m.Value
		c.object(path, m.Value)
		return
	}
	f, ok := fieldAt(path)
	if !ok {
		c.report(m.Name, path, "is not a field", suggestion(parent, m.Key))
		return
	}
	c.seen[path] = m.Value
	before := len(c.problems)
	c.field(f, m.Value)
	if len(c.problems) > before {
		c.bad[path] = true
		return
	}
	c.settings.set(path, jsonc.Standard(m.Value))
}

func (c *checker) field(f Field, v *hujson.Value) {
	switch f.Kind {
	case KindInt, KindFloat:
		c.number(f, v)
	case KindDuration:
		c.duration(f, v)
	case KindAddresses:
		c.addresses(f, v)
	default:
		c.text(f, f.Path, v)
	}
}

func (c *checker) number(f Field, v *hujson.Value) {
	lit, ok := jsonc.Literal(v)
	if !ok || lit.Kind() != '0' {
		c.report(v, f.Path, "is "+jsonc.KindName(v), f.Want())
		return
	}
	if f.Kind == KindInt {
		if _, err := strconv.ParseInt(string(lit), 10, 64); err != nil {
			c.report(v, f.Path, string(lit)+" is not a whole number in range", f.Want())
			return
		}
	}
	n, err := strconv.ParseFloat(string(lit), 64)
	if err != nil {
		c.report(v, f.Path, string(lit)+" is not a number in range", f.Want())
		return
	}
	if text := f.checkNumber(n, string(lit)); text != "" {
		c.report(v, f.Path, text, f.Want())
	}
}

func (c *checker) duration(f Field, v *hujson.Value) {
	s, ok := jsonc.String(v)
	if !ok {
		c.report(v, f.Path, "is "+jsonc.KindName(v), f.Want())
		return
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		c.report(v, f.Path, strconv.Quote(s)+" is not a duration", f.Want())
		return
	}
	if text := f.checkNumber(float64(d), strconv.Quote(s)); text != "" {
		c.report(v, f.Path, text, f.Want())
	}
}

func (c *checker) text(f Field, path string, v *hujson.Value) {
	s, ok := jsonc.String(v)
	if !ok {
		c.report(v, path, "is "+jsonc.KindName(v), f.Want())
		return
	}
	if text := f.checkText(s); text != "" {
		c.report(v, path, text, f.Want())
	}
}

func (c *checker) addresses(f Field, v *hujson.Value) {
	elements, ok := jsonc.Elements(v)
	if !ok {
		c.report(v, f.Path, "is "+jsonc.KindName(v), f.Want())
		return
	}
	if len(elements) > int(f.Max) {
		c.report(v, f.Path, fmt.Sprintf("has %d addresses", len(elements)), f.Want())
	}
	for i, e := range elements {
		c.text(Field{Kind: KindAddress}, fmt.Sprintf("%s[%d]", f.Path, i), e)
	}
}

// missing reports required fields that the file does not set, at the object
// that should hold them.
func (c *checker) missing() {
	if _, ok := jsonc.Members(c.doc.Root); !ok {
		return
	}
	for _, f := range Fields {
		if !f.Required || c.seen[f.Path] != nil || c.bad[f.Path] {
			continue
		}
		at := c.doc.Root
		if group, _ := f.group(); c.seen[group] != nil {
			at = c.seen[group]
		}
		c.report(at, f.Path, "is missing", f.Want())
	}
}

func fieldAt(path string) (Field, bool) {
	for _, f := range Fields {
		if f.Path == path {
			return f, true
		}
	}
	return Field{}, false
}

func isGroup(key string) bool {
	for _, f := range Fields {
		if group, _ := f.group(); group == key {
			return true
		}
	}
	return false
}

// suggestion tells the nearest name in the same object, or the path of a field
// of that name elsewhere, or all names that the object knows.
func suggestion(parent, key string) string {
	var here []string
	for _, f := range Fields {
		group, k := f.group()
		switch {
		case group == parent:
			here = append(here, k)
		case parent == "" && (len(here) == 0 || here[len(here)-1] != group):
			here = append(here, group)
		}
	}
	if near, ok := jsonc.Suggest(key, here); ok {
		return fmt.Sprintf("did you mean %q?", jsonc.Join(parent, near))
	}
	for _, f := range Fields {
		if _, k := f.group(); k == key {
			return fmt.Sprintf("did you mean %q?", f.Path)
		}
	}
	return "use one of " + strings.Join(here, ", ")
}
