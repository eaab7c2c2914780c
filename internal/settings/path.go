package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"time"
)

// set sets the field with a path to a JSON value. It panics if the field does not exist or has
// another type: Fields and the struct are both part of the program, and a test checks that they
// match.
func (s *Settings) set(path string, value []byte) {
	v := reflect.ValueOf(s).Elem()
	for key := range strings.SplitSeq(path, ".") {
		v = fieldByKey(v, key)
	}
	if err := json.Unmarshal(value, v.Addr().Interface()); err != nil {
		panic(fmt.Sprintf("settings: field %s: %v", path, err))
	}
}

// fieldByKey returns the field of a struct whose JSON key is key. It panics if there is none.
func fieldByKey(v reflect.Value, key string) reflect.Value {
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("json") == key {
			return v.Field(i)
		}
	}
	panic("settings: no field " + key)
}

// defaultJSON returns the field's default as JSON.
func (f Field) defaultJSON() []byte { return toJSON(f.Default) }

// toJSON returns v as JSON, a time.Duration in the format of Duration.
func toJSON(v any) []byte {
	if d, ok := v.(time.Duration); ok {
		v = Duration(d)
	}
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("settings: %v: %v", v, err))
	}
	return b
}

// group returns the key of the object that the field belongs to, empty for the top level, and the
// key of the field in that object.
func (f Field) group() (group, key string) {
	if group, key, ok := strings.Cut(f.Path, "."); ok {
		return group, key
	}
	return "", f.Path
}
