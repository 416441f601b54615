package declare

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"pollenbend/internal/model"
)

// Diff returns the smallest change that turns before into after. The caller
// sets its ID, Base and Author.
func Diff(before, after model.Declarations) model.Change {
	oldObjects, newObjects := splitObjects(before), splitObjects(after)
	var c model.Change
	for _, ref := range Refs(after) {
		old, existed := oldObjects[ref.ObjectRef]
		if object := newObjects[ref.ObjectRef]; !existed || !object.equal(old) {
			c.Put = merge(c.Put, object.Declarations)
		}
	}
	for _, ref := range Refs(before) {
		if _, exists := newObjects[ref.ObjectRef]; !exists {
			c.Delete = append(c.Delete, ref.ObjectRef)
		}
	}
	return c
}

// IsEmpty reports whether a change puts and deletes no objects.
func IsEmpty(c model.Change) bool { return len(c.Delete) == 0 && len(Refs(c.Put)) == 0 }

// Touched returns references to every object that a change puts or deletes.
func Touched(c model.Change) []model.ObjectRef {
	refs := slices.Clone(c.Delete)
	for _, ref := range Refs(c.Put) {
		refs = append(refs, ref.ObjectRef)
	}
	return refs
}

// object is one declared object, stored as declarations that hold only it.
type object struct{ model.Declarations }

// splitObjects returns the objects of d by reference.
func splitObjects(d model.Declarations) map[model.ObjectRef]object {
	objects := map[model.ObjectRef]object{}
	for _, ref := range Refs(d) {
		objects[ref.ObjectRef] = object{singleObject(d, ref)}
	}
	return objects
}

// singleObject returns the declarations that hold only the object at ref.
func singleObject(d model.Declarations, ref IndexedRef) model.Declarations {
	i := ref.Index
	switch ref.Kind {
	case model.ObjectTeam:
		return model.Declarations{Teams: d.Teams[i : i+1 : i+1]}
	case model.ObjectKey:
		return model.Declarations{Keys: d.Keys[i : i+1 : i+1]}
	case model.ObjectQueue:
		return model.Declarations{Queues: d.Queues[i : i+1 : i+1]}
	case model.ObjectService:
		return model.Declarations{Services: d.Services[i : i+1 : i+1]}
	}
	return model.Declarations{Policies: d.Policies[i : i+1 : i+1]}
}

// equal compares the encodings, so that nil and empty lists are equal.
func (o object) equal(other object) bool {
	return bytes.Equal(mustEncode(o.Declarations), mustEncode(other.Declarations))
}

// Render describes a change to the declarations in before: one line per object,
// marked "+" (added), "~" (modified) or "-" (deleted), and below an added or
// modified object the lines that differ.
func Render(before model.Declarations, c model.Change) string {
	oldObjects, putObjects := splitObjects(before), splitObjects(c.Put)
	var b strings.Builder
	for _, ref := range Refs(c.Put) {
		old, existed := oldObjects[ref.ObjectRef]
		renderPut(&b, ref.ObjectRef, old.lines(), putObjects[ref.ObjectRef].lines(), existed)
	}
	for _, ref := range c.Delete {
		fmt.Fprintf(&b, "- %s %s\n", ref.Kind, ref.Name)
	}
	return b.String()
}

func renderPut(b *strings.Builder, ref model.ObjectRef, old, updated []string, existed bool) {
	mark := "+"
	if existed {
		mark = "~"
	}
	fmt.Fprintf(b, "%s %s %s\n", mark, ref.Kind, ref.Name)
	for _, line := range old {
		if !slices.Contains(updated, line) {
			fmt.Fprintf(b, "    - %s\n", line)
		}
	}
	for _, line := range updated {
		if !slices.Contains(old, line) {
			fmt.Fprintf(b, "    + %s\n", line)
		}
	}
}

// lines returns the object as lines of a declarations file, without its header
// and name.
func (o object) lines() []string {
	data, err := Marshal(o.Declarations)
	if err != nil {
		return []string{err.Error()}
	}
	var lines []string
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		skip := line == "" || strings.HasPrefix(line, "[") || strings.HasPrefix(line, "name =")
		if !skip {
			lines = append(lines, line)
		}
	}
	return lines
}
