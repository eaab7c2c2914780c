package jsonc

import (
	"github.com/tailscale/hujson"
)

// Member is one member of an object.
type Member struct {
	Key string
	// Name is the key's place in the file.
	Name  *hujson.Value
	Value *hujson.Value
}

// Members returns an object's members in the order of the file; ok is false
// for a value that is no object.
func Members(v *hujson.Value) (list []Member, ok bool) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		return nil, false
	}
	for i := range obj.Members {
		m := &obj.Members[i]
		lit, _ := m.Name.Value.(hujson.Literal)
		list = append(list, Member{Key: lit.String(), Name: &m.Name, Value: &m.Value})
	}
	return list, true
}

// Elements returns an array's elements; ok is false for a value that is no
// array.
func Elements(v *hujson.Value) (list []*hujson.Value, ok bool) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		return nil, false
	}
	for i := range arr.Elements {
		list = append(list, &arr.Elements[i])
	}
	return list, true
}

// Literal returns the bytes of a value that is no object and no array.
func Literal(v *hujson.Value) (hujson.Literal, bool) {
	lit, ok := v.Value.(hujson.Literal)
	return lit, ok
}

// String returns the value of a JSON string.
func String(v *hujson.Value) (string, bool) {
	lit, ok := Literal(v)
	if !ok || lit.Kind() != '"' {
		return "", false
	}
	return lit.String(), true
}

// KindName returns the name of a value's type for people.
func KindName(v *hujson.Value) string {
	switch v.Value.Kind() {
	case 'n':
		return "null"
	case 't', 'f':
		return "a boolean"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case '{':
		return "an object"
	case '[':
		return "an array"
	}
	return "not a JSON value"
}

// Join appends a key to the path of an object.
func Join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
