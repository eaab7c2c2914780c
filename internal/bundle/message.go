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

// object returns the members of an object by name. It reports members that are not in names and
// members that are set twice. It returns nil if the value is not an object.
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

// message checks an object against the fields of a protobuf message.
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

// field checks the value of a message field, or each element if the field is a list.
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

// value checks a single value against the kind of a field. It supports only the kinds that occur in
// the configuration messages; TestEveryFieldKindIsKnown fails if a message has another kind.
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
		if _, err := strconv.ParseFloat(numberText(v), 64); err != nil {
			p.report(v, path, describeInvalid(v), "use a number")
		}
	case protoreflect.Uint32Kind:
		if _, err := strconv.ParseUint(numberText(v), 10, 32); err != nil {
			p.report(v, path, describeInvalid(v), "use a whole number from 0 to 4294967295")
		}
	default:
		p.report(v, path, "is a field that this program cannot read", "use a newer program")
	}
}

// text returns the value of a string and reports any other value.
func (p *parser) text(v *hujson.Value, path string) string {
	s, ok := jsonc.String(v)
	if !ok {
		p.report(v, path, "is "+jsonc.KindName(v), "use a string")
	}
	return s
}

// revision returns the value of a revision number and reports any other value.
func (p *parser) revision(v *hujson.Value, path string) uint64 {
	n, err := strconv.ParseUint(numberText(v), 10, 64)
	if err != nil {
		p.report(v, path, describeInvalid(v), "use the revision that is replaced, or 0 for a resource that must not exist yet")
	}
	return n
}

// numberText returns the text of a JSON number, or the empty string if v is not a number.
func numberText(v *hujson.Value) string {
	lit, ok := jsonc.Literal(v)
	if !ok || lit.Kind() != '0' {
		return ""
	}
	return string(lit)
}

// describeInvalid states what is wrong with a value in place of a number: out of range or of another
// type.
func describeInvalid(v *hujson.Value) string {
	if n := numberText(v); n != "" {
		return n + " is out of range"
	}
	return "is " + jsonc.KindName(v)
}

// suggestion returns a correction for an unknown key: the name that is closest to it, or all names.
func suggestion(key string, names []string) string {
	if near, ok := jsonc.Suggest(key, names); ok {
		return fmt.Sprintf("did you mean %q?", near)
	}
	return "use one of " + strings.Join(names, ", ")
}
