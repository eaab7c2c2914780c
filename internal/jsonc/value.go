package jsonc

import (
	"github.com/tailscale/hujson"
)

// Member is one member of an object.
type Member struct {
	Key string
	// Name is the key as a value, which has the key's position in the file.
	Name  *hujson.Value
	Value *hujson.Value
}

// Members returns the members of an object in the order of the file. ok is false if the value is not
// an object.
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

// Elements returns the elements of an array. ok is false if the value is not an array.
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

// Literal returns the text of a string, number, boolean or null. It returns false for an object or
// an array.
func Literal(v *hujson.Value) (hujson.Literal, bool) {
	lit, ok := v.Value.(hujson.Literal)
	return lit, ok
}

// String returns the value of a JSON string. It returns false for a value of another type.
func String(v *hujson.Value) (string, bool) {
	lit, ok := Literal(v)
	if !ok || lit.Kind() != '"' {
		return "", false
	}
	return lit.String(), true
}

// KindName returns the type of a value with its article, such as "a string", for use in messages.
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

// Join returns the path of the member with the given key in the object at path.
func Join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
