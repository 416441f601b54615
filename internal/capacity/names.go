package capacity

import (
	"iter"
	"reflect"
)

// byName yields every line with the name of its metric, in the order of the fields.
func (l Lines) byName() iter.Seq2[string, Line] {
	return func(yield func(string, Line) bool) {
		v := reflect.ValueOf(l)
		for i := range v.NumField() {
			name := v.Type().Field(i).Tag.Get("toml")
			if !yield(name, v.Field(i).Interface().(Line)) {
				return
			}
		}
	}
}
