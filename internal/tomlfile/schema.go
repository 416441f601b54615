package tomlfile

import (
	"encoding"
	"reflect"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Expecter is implemented by types that describe their text form, such as
// "a size with a unit", for error messages.
type Expecter interface {
	Expected() string
}

// Field is one key that a file may contain.
type Field struct {
	Key      string // such as "timing.heartbeat"
	Expected string // such as "a string"
	Table    bool   // a table or a list of tables
	Open     bool   // a table with arbitrary keys

	typ reflect.Type
}

// Fields returns the keys of a file that decodes into the struct t, in the order of
// t's fields.
func Fields(t reflect.Type) []Field { return appendFields(nil, "", t) }

var (
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
	expecter        = reflect.TypeFor[Expecter]()
)

func appendFields(list []Field, prefix string, t reflect.Type) []Field {
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		if name == "" || name == "-" {
			continue
		}
		key := join(prefix, name)
		list = append(list, newField(key, f.Type))
		if sub, ok := tableType(f.Type); ok {
			list = appendFields(list, key, sub)
		}
	}
	return list
}

// tableType returns the struct that a table or an array of tables decodes into, and
// whether t is such a type.
func tableType(t reflect.Type) (reflect.Type, bool) {
	if t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	isText := reflect.PointerTo(t).Implements(textUnmarshaler)
	return t, t.Kind() == reflect.Struct && !isText
}

func newField(key string, t reflect.Type) Field {
	if _, ok := tableType(t); ok {
		form := "a table [" + key + "]"
		if t.Kind() == reflect.Slice {
			form = "a list of tables [[" + key + "]]"
		}
		return Field{Key: key, Expected: form, Table: true, typ: t}
	}
	if t.Kind() == reflect.Map {
		return Field{Key: key, Expected: "a table of strings", Table: true, Open: true, typ: t}
	}
	return Field{Key: key, Expected: expectedForm(t), typ: t}
}

func expectedForm(t reflect.Type) string {
	if t.Implements(expecter) {
		return reflect.Zero(t).Interface().(Expecter).Expected()
	}
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Slice:
		return "a list, each element " + expectedForm(t.Elem())
	}
	return "a value of type " + t.Kind().String()
}

// schema maps keys to the fields of a file.
type schema map[string]Field

func newSchema(t reflect.Type) schema {
	s := schema{}
	for _, f := range Fields(t) {
		s[f.Key] = f
	}
	return s
}

// find returns the field for key, and false if the key is unknown. A key in an open
// table is a string field.
func (s schema) find(key string) (Field, bool) {
	if f, ok := s[key]; ok {
		return f, true
	}
	parent, _ := cutLast(key)
	return Field{Key: key, Expected: "a string", typ: reflect.TypeFor[string]()}, s[parent].Open
}

// check returns an error unless e has a value that the field accepts.
func (f Field) check(e entry) error {
	t := f.typ
	if strings.HasSuffix(e.path, "]") && t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(textUnmarshaler) {
		return f.checkText(t, e)
	}
	if e.kind == unstable.ArrayTable {
		t = f.typ
	}
	if !acceptedKinds(t).has(e.kind) {
		return errors.Newf("expected %s, got %s", f.Expected, describeKind(e.kind))
	}
	return nil
}

func (f Field) checkText(t reflect.Type, e entry) error {
	switch e.kind {
	case unstable.String, unstable.Integer, unstable.Float:
		return reflect.New(t).Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(e.text))
	}
	return errors.Newf("expected %s, got %s", f.Expected, describeKind(e.kind))
}

type kinds []unstable.Kind

func (k kinds) has(kind unstable.Kind) bool { return slices.Contains(k, kind) }

// acceptedKinds returns the kinds of TOML values that decode into t.
func acceptedKinds(t reflect.Type) kinds {
	switch t.Kind() {
	case reflect.String:
		return kinds{unstable.String}
	case reflect.Bool:
		return kinds{unstable.Bool}
	case reflect.Int, reflect.Int64:
		return kinds{unstable.Integer}
	case reflect.Struct, reflect.Map:
		return kinds{unstable.Table, unstable.InlineTable}
	case reflect.Slice:
		if _, ok := tableType(t); ok {
			return kinds{unstable.ArrayTable, unstable.Array}
		}
		return kinds{unstable.Array}
	}
	return nil
}

// describeKind returns the name of a kind of TOML value for error messages.
func describeKind(kind unstable.Kind) string {
	switch kind {
	case unstable.Array:
		return "a list"
	case unstable.Table, unstable.InlineTable:
		return "a table"
	case unstable.ArrayTable:
		return "a list of tables"
	case unstable.Bool:
		return "true or false"
	case unstable.String:
		return "a string"
	case unstable.Integer, unstable.Float:
		return "a number"
	}
	return "a date or time"
}

// siblings returns the names of the keys allowed in the table of key, sorted.
func (s schema) siblings(key string) []string {
	parent, _ := cutLast(key)
	var names []string
	for k := range s {
		if p, name := cutLast(k); p == parent {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func cutLast(key string) (parent, name string) {
	i := strings.LastIndexByte(key, '.')
	return key[:max(i, 0)], key[i+1:]
}
