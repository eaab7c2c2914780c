package bundle

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/crocuscross/crocuscross/internal/jsonc"
)

// object returns the members of an object, and reports those that are not
// among the names or stand twice.
func (p *parser) object(v *hujson.Value, path string, names []string) map[string]*hujson.Value {
	list, ok := jsonc.Members(v)
	if !ok {
		p.report(v, path, "is "+jsonc.KindName(v), "use an object with "+strings.Join(names, ", "))
		return nil
	}
	members := map[string]*hujson.Value{}
	for _, m := range list {
		field := jsonc.Join(path, m.Key)
		switch {
		case !slices.Contains(names, m.Key):
			p.report(m.Name, field, "is not a field", suggestion(m.Key, names))
		case members[m.Key] != nil:
			p.report(m.Name, field, "is set twice", "keep one")
		default:
			members[m.Key] = m.Value
		}
	}
	return members
}

// message checks an object against a message's fields.
func (p *parser) message(desc protoreflect.MessageDescriptor, v *hujson.Value, path string) {
	fields := desc.Fields()
	var names []string
	for i := range fields.Len() {
		names = append(names, fields.Get(i).TextName())
	}
	members := p.object(v, path, names)
	for _, name := range names {
		if m := members[name]; m != nil {
			p.field(fields.ByTextName(name), m, jsonc.Join(path, name))
		}
	}
}

func (p *parser) field(f protoreflect.FieldDescriptor, v *hujson.Value, path string) {
	if !f.IsList() {
		p.value(f, v, path)
		return
	}
	elements, ok := jsonc.Elements(v)
	if !ok {
		p.report(v, path, "is "+jsonc.KindName(v), "use an array")
		return
	}
	for i, e := range elements {
		p.value(f, e, fmt.Sprintf("%s[%d]", path, i))
	}
}

// value checks one value. Only the kinds that configuration messages have are
// known; a test fails for a message with another.
func (p *parser) value(f protoreflect.FieldDescriptor, v *hujson.Value, path string) {
	switch f.Kind() {
	case protoreflect.MessageKind:
		p.message(f.Message(), v, path)
	case protoreflect.StringKind:
		p.text(v, path)
	case protoreflect.BoolKind:
		if k := v.Value.Kind(); k != 't' && k != 'f' {
			p.report(v, path, "is "+jsonc.KindName(v), "use true or false")
		}
	case protoreflect.DoubleKind:
		if _, err := strconv.ParseFloat(numberOf(v), 64); err != nil {
			p.report(v, path, shown(v), "use a number")
		}
	case protoreflect.Uint32Kind:
		if _, err := strconv.ParseUint(numberOf(v), 10, 32); err != nil {
			p.report(v, path, shown(v), "use a whole number from 0 to 4294967295")
		}
	default:
		p.report(v, path, "is a field that this program cannot read", "use a newer program")
	}
}

func (p *parser) text(v *hujson.Value, path string) string {
	s, ok := jsonc.String(v)
	if !ok {
		p.report(v, path, "is "+jsonc.KindName(v), "use a string")
	}
	return s
}

func (p *parser) revision(v *hujson.Value, path string) uint64 {
	n, err := strconv.ParseUint(numberOf(v), 10, 64)
	if err != nil {
		p.report(v, path, shown(v), "use the revision that is replaced, or 0 for a resource that must not exist yet")
	}
	return n
}

// numberOf returns the text of a JSON number, empty for another value.
func numberOf(v *hujson.Value) string {
	lit, ok := jsonc.Literal(v)
	if !ok || lit.Kind() != '0' {
		return ""
	}
	return string(lit)
}

// shown describes a value that is wrong.
func shown(v *hujson.Value) string {
	if n := numberOf(v); n != "" {
		return n + " is out of range"
	}
	return "is " + jsonc.KindName(v)
}

func suggestion(key string, names []string) string {
	if near, ok := jsonc.Suggest(key, names); ok {
		return fmt.Sprintf("did you mean %q?", near)
	}
	return "use one of " + strings.Join(names, ", ")
}
