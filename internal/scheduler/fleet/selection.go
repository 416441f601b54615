package fleet

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"pollenbend/internal/model"
)

// Bounds of the label index. A selector on a label beyond them still works: it
// is checked worker by worker.
const (
	maxIndexedLabels  = 12
	maxIndexedValues  = 64   // distinct values of one label
	maxClasses        = 1024 // after a label is added
	maxSelections     = 1024
	maxShapes         = 256 // remembered refusals of one selection
	separator         = "\x00"
	absent            = "\x01"
	estimatedKeyBytes = 128
)

// Selection is a selector in use and the classes that it allows.
type Selection struct {
	selector model.Selector
	plain    []*Class // without accelerators
	accel    []*Class
	residual bool // some requirement must be checked worker by worker
	shapes   map[model.Resources]uint64
}

// Matches reports whether a worker of the selection's classes meets the whole
// selector.
func (s *Selection) Matches(n *Node) bool {
	return !s.residual || s.selector.Matches(n.Worker.Labels)
}

// Empty reports whether no worker belongs to an allowed class.
func (s *Selection) Empty() bool { return len(s.plain) == 0 && len(s.accel) == 0 }

// Select returns the selection of a selector.
func (f *Fleet) Select(selector model.Selector) *Selection {
	key := hashSelector(selector)
	s := f.selections[key]
	if s != nil && equalSelectors(s.selector, selector) {
		return s
	}
	for _, q := range selector {
		f.indexLabel(q.Label)
	}
	if len(f.selections) >= maxSelections {
		clear(f.selections)
	}
	s = &Selection{selector: cloneSelector(selector), shapes: make(map[model.Resources]uint64)}
	f.selections[key] = s
	f.resolve(s)
	return s
}

// resolve works out a selection's classes.
func (f *Fleet) resolve(s *Selection) {
	s.plain = s.plain[:0]
	s.accel = s.accel[:0]
	clear(s.shapes)
	s.residual = slices.ContainsFunc(s.selector, func(q model.Requirement) bool {
		return !slices.Contains(f.labels, q.Label)
	})
	for _, c := range f.classes {
		s.add(c, f.labels)
	}
}

func (s *Selection) add(c *Class, indexed []string) {
	for _, q := range s.selector {
		if slices.Contains(indexed, q.Label) && !q.Matches(c.labels) {
			return
		}
	}
	if c.accel {
		s.accel = append(s.accel, c)
	} else {
		s.plain = append(s.plain, c)
	}
}

// indexLabel makes a label tell classes apart, unless that would make too many.
func (f *Fleet) indexLabel(label string) {
	if len(f.labels) >= maxIndexedLabels ||
		slices.Contains(f.labels, label) || slices.Contains(f.unindexed, label) {
		return
	}
	values := make(map[string]struct{})
	for _, n := range f.nodes {
		v, ok := n.Worker.Labels[label]
		if !ok {
			continue
		}
		values[v] = struct{}{}
		if len(values) > maxIndexedValues {
			return
		}
	}
	if len(f.classes)*(len(values)+1) > maxClasses {
		return
	}
	f.labels = append(f.labels, label)
	f.reclassify()
}

// boundClasses takes the label with the most values out of the index when there
// are too many classes.
func (f *Fleet) boundClasses() {
	if len(f.classes) <= maxClasses || len(f.labels) == 0 {
		return
	}
	widest, most := "", 0
	for _, label := range f.labels {
		values := make(map[string]struct{})
		for _, c := range f.classes {
			values[c.labels[label]] = struct{}{}
		}
		if len(values) > most {
			widest, most = label, len(values)
		}
	}
	f.labels = slices.DeleteFunc(f.labels, func(l string) bool { return l == widest })
	f.unindexed = append(f.unindexed, widest)
	f.reclassify()
}

// reclassify builds all classes anew after the indexed labels changed.
func (f *Fleet) reclassify() {
	f.classes = nil
	clear(f.byKey)
	for _, n := range f.nodes {
		n.class = f.classOf(n)
		n.class.join(n)
		if n.indexed {
			n.class.insert(n, spotOf(n.Available()))
		}
	}
	for _, s := range f.selections {
		f.resolve(s)
	}
}

// classOf returns the class of a worker, made if need be.
func (f *Fleet) classOf(n *Node) *Class {
	key := f.classKey(n)
	if c := f.byKey[key]; c != nil {
		return c
	}
	c := &Class{
		shapes: make(map[model.Resources]int),
		labels: make(map[string]string, len(f.labels)),
		zone:   n.Zone(),
		accel:  n.Worker.Capacity.Accelerators > 0,
		pool:   &f.pool,
	}
	for _, label := range f.labels {
		if v, ok := n.Worker.Labels[label]; ok {
			c.labels[label] = v
		}
	}
	f.byKey[key] = c
	f.classes = append(f.classes, c)
	for _, s := range f.selections {
		s.add(c, f.labels)
	}
	return c
}

// dropEmpty forgets a class without workers.
func (f *Fleet) dropEmpty(c *Class) {
	if c.size > 0 {
		return
	}
	isClass := func(other *Class) bool { return other == c }
	f.classes = slices.DeleteFunc(f.classes, isClass)
	for key, other := range f.byKey {
		if other == c {
			delete(f.byKey, key)
		}
	}
	for _, s := range f.selections {
		s.plain = slices.DeleteFunc(s.plain, isClass)
		s.accel = slices.DeleteFunc(s.accel, isClass)
	}
}

func (f *Fleet) classKey(n *Node) string {
	var b strings.Builder
	b.Grow(estimatedKeyBytes)
	b.WriteString(n.Zone())
	if n.Worker.Capacity.Accelerators > 0 {
		b.WriteString(absent)
	}
	for _, label := range f.labels {
		b.WriteString(separator)
		v, ok := n.Worker.Labels[label]
		if !ok {
			v = absent
		}
		b.WriteString(v)
	}
	return b.String()
}

func hashSelector(selector model.Selector) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, q := range selector {
		_, _ = d.WriteString(q.Label)
		_, _ = d.WriteString(separator)
		_, _ = d.WriteString(string(q.Op))
		for _, v := range q.Values {
			_, _ = d.WriteString(separator)
			_, _ = d.WriteString(v)
		}
		_, _ = d.WriteString(absent)
	}
	return d.Sum64()
}

func equalSelectors(a, b model.Selector) bool {
	return slices.EqualFunc(a, b, func(x, y model.Requirement) bool {
		return x.Label == y.Label && x.Op == y.Op && slices.Equal(x.Values, y.Values)
	})
}

func cloneSelector(s model.Selector) model.Selector {
	out := slices.Clone(s)
	for i := range out {
		out[i].Values = slices.Clone(out[i].Values)
	}
	return out
}
