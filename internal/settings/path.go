package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"time"
)

// set puts a JSON value into the field of a path. Fields and the struct are
// both written by us, so that a mismatch is a fault of the program; a test
// compares the two.
func (s *Settings) set(path string, value []byte) {
	v := reflect.ValueOf(s).Elem()
	for key := range strings.SplitSeq(path, ".") {
		v = fieldByKey(v, key)
	}
	if err := json.Unmarshal(value, v.Addr().Interface()); err != nil {
		panic(fmt.Sprintf("settings: field %s: %v", path, err))
	}
}

func fieldByKey(v reflect.Value, key string) reflect.Value {
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("json") == key {
			return v.Field(i)
		}
	}
	panic("settings: no field " + key)
}

// defaultJSON returns the default as JSON.
func (f Field) defaultJSON() []byte { return toJSON(f.Default) }

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

// group returns the object that holds the field, empty for the top level, and
// the key within it.
func (f Field) group() (group, key string) {
	if group, key, ok := strings.Cut(f.Path, "."); ok {
		return group, key
	}
	return "", f.Path
}
