package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"github.com/crocuscross/crocuscross/internal/jsonc"
)

// checker reads a parsed settings file into Settings and collects the problems of the file.
type checker struct {
	doc      *jsonc.Document
	settings Settings
	problems jsonc.Problems
	// values holds the value in the file of each field and group that the file sets, by path.
	values map[string]*hujson.Value
	// invalid holds the paths of the fields that keep their default because their value in the file
	// is invalid.
	invalid map[string]bool
}

// check returns the settings in a file, or a jsonc.Problems with all problems of the file.
func check(d *jsonc.Document) (*Settings, error) {
	c := &checker{doc: d, settings: Default(), values: map[string]*hujson.Value{}, invalid: map[string]bool{}}
	c.checkObject("", d.Root)
	c.checkRequired()
	c.checkRelations()
	if err := c.problems.Err(); err != nil {
		return nil, err
	}
	return &c.settings, nil
}

// report adds a problem at v. text describes the problem and want a valid value.
func (c *checker) report(v *hujson.Value, path, text, want string) {
	c.problems = append(c.problems, c.doc.Problem(v, path, text, want))
}

// checkObject checks the members of the top-level object, for which path is empty, or of one
// group.
func (c *checker) checkObject(path string, v *hujson.Value) {
	members, ok := jsonc.Members(v)
	if !ok {
		c.report(v, path, "is "+jsonc.KindName(v), "use an object")
		for _, f := range Fields {
			if group, _ := f.group(); group == path {
				c.invalid[f.Path] = true
			}
		}
		return
	}
	for _, m := range members {
		c.checkMember(path, m)
	}
}

// checkMember checks one member of the object parent and sets its field if the value is valid.
func (c *checker) checkMember(parent string, m jsonc.Member) {
	path := jsonc.Join(parent, m.Key)
	if c.values[path] != nil {
		c.report(m.Name, path, "is set twice", "keep one")
		return
	}
	if parent == "" && isGroup(m.Key) {
		c.values[path] = m.Value
		c.checkObject(path, m.Value)
		return
	}
	f, ok := fieldByPath(path)
	if !ok {
		c.report(m.Name, path, "is not a field", suggestion(parent, m.Key))
		return
	}
	c.values[path] = m.Value
	before := len(c.problems)
	c.checkField(f, m.Value)
	if len(c.problems) > before {
		c.invalid[path] = true
		return
	}
	c.settings.set(path, jsonc.Standard(m.Value))
}

// checkField checks the value of one field.
func (c *checker) checkField(f Field, v *hujson.Value) {
	switch f.Kind {
	case KindInt, KindFloat:
		c.checkNumber(f, v)
	case KindDuration:
		c.checkDuration(f, v)
	case KindAddresses:
		c.checkAddresses(f, v)
	default:
		c.checkText(f, f.Path, v)
	}
}

func (c *checker) checkNumber(f Field, v *hujson.Value) {
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
	if text := f.numberProblem(n, string(lit)); text != "" {
		c.report(v, f.Path, text, f.Want())
	}
}

func (c *checker) checkDuration(f Field, v *hujson.Value) {
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
	if text := f.numberProblem(float64(d), strconv.Quote(s)); text != "" {
		c.report(v, f.Path, text, f.Want())
	}
}

func (c *checker) checkText(f Field, path string, v *hujson.Value) {
	s, ok := jsonc.String(v)
	if !ok {
		c.report(v, path, "is "+jsonc.KindName(v), f.Want())
		return
	}
	if text := f.textProblem(s); text != "" {
		c.report(v, path, text, f.Want())
	}
}

func (c *checker) checkAddresses(f Field, v *hujson.Value) {
	elements, ok := jsonc.Elements(v)
	if !ok {
		c.report(v, f.Path, "is "+jsonc.KindName(v), f.Want())
		return
	}
	if len(elements) > int(f.Max) {
		c.report(v, f.Path, fmt.Sprintf("has %d addresses", len(elements)), f.Want())
	}
	for i, e := range elements {
		c.checkText(Field{Kind: KindAddress}, fmt.Sprintf("%s[%d]", f.Path, i), e)
	}
}

// checkRequired reports each required field that the file does not set, at the object that the
// field belongs to.
func (c *checker) checkRequired() {
	if _, ok := jsonc.Members(c.doc.Root); !ok {
		return
	}
	for _, f := range Fields {
		if !f.Required || c.values[f.Path] != nil || c.invalid[f.Path] {
			continue
		}
		at := c.doc.Root
		if group, _ := f.group(); c.values[group] != nil {
			at = c.values[group]
		}
		c.report(at, f.Path, "is missing", f.Want())
	}
}

// fieldByPath returns the field with a path, false if there is none.
func fieldByPath(path string) (Field, bool) {
	for _, f := range Fields {
		if f.Path == path {
			return f, true
		}
	}
	return Field{}, false
}

// isGroup reports whether key names a group of fields.
func isGroup(key string) bool {
	for _, f := range Fields {
		if group, _ := f.group(); group == key {
			return true
		}
	}
	return false
}

// suggestion returns a hint for an unknown key of the object parent: a similar key of that object,
// or the path of a field with this key in another object, or all keys of the object.
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
