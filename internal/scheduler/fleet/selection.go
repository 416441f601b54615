package fleet

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"pollenbend/internal/model"
)

// Limits of the label index. A selector on a label that isn't indexed still works:
// it is checked worker by worker.
const (
	maxIndexedLabels = 12
	maxIndexedValues = 64   // distinct values of one label
	maxClasses       = 1024 // when there are more, a label is removed from the index
	maxSelections    = 1024
	maxRefusals      = 256    // remembered refusals of one selection
	separator        = "\x00" // between the parts of a key
	// absent stands for the value of a label that a worker doesn't have. It also marks
	// classes with accelerators, and the end of a requirement in a hash.
	absent            = "\x01"
	estimatedKeyBytes = 128 // initial buffer size for the key of a class
)

// Selection is a selector and the classes that match its indexed labels.
type Selection struct {
	selector model.Selector
	plain    []*WorkerClass // without accelerators
	accel    []*WorkerClass
	residual bool // some label isn't indexed and must be checked worker by worker
	// refusals holds demands for which no worker was feasible, with the value of
	// Fleet.freed.next at that time.
	refusals map[model.Resources]uint64
}

// Matches reports whether a worker of the selection's classes matches the whole
// selector.
func (s *Selection) Matches(n *Node) bool {
	return !s.residual || s.selector.Matches(n.Worker.Labels)
}

// Empty reports whether the selection has no class.
func (s *Selection) Empty() bool { return len(s.plain) == 0 && len(s.accel) == 0 }

// Select returns the selection of a selector and indexes the selector's labels if
// the limits allow.
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
	s = &Selection{selector: cloneSelector(selector), refusals: make(map[model.Resources]uint64)}
	f.selections[key] = s
	f.resolveClasses(s)
	return s
}

// resolveClasses recomputes a selection's classes and forgets its refusals.
func (f *Fleet) resolveClasses(s *Selection) {
	s.plain = s.plain[:0]
	s.accel = s.accel[:0]
	clear(s.refusals)
	s.residual = slices.ContainsFunc(s.selector, func(q model.Requirement) bool {
		return !slices.Contains(f.labels, q.Label)
	})
	for _, c := range f.classes {
		s.addClass(c, f.labels)
	}
}

// addClass adds a class if it matches the selector's indexed labels.
func (s *Selection) addClass(c *WorkerClass, indexed []string) {
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

// indexLabel adds a label to the index unless it has too many values or would make
// too many classes.
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

// boundClasses removes the label with the largest number of values from the index
// when there are too many classes.
func (f *Fleet) boundClasses() {
	if len(f.classes) <= maxClasses || len(f.labels) == 0 {
		return
	}
	widest, maxValues := "", 0
	for _, label := range f.labels {
		values := make(map[string]struct{})
		for _, c := range f.classes {
			values[c.labels[label]] = struct{}{}
		}
		if len(values) > maxValues {
			widest, maxValues = label, len(values)
		}
	}
	f.labels = slices.DeleteFunc(f.labels, func(l string) bool { return l == widest })
	f.unindexed = append(f.unindexed, widest)
	f.reclassify()
}

// reclassify rebuilds all classes after the indexed labels changed.
func (f *Fleet) reclassify() {
	f.classes = nil
	clear(f.classByKey)
	for _, n := range f.nodes {
		n.class = f.classOf(n)
		n.class.addMember(n)
		if n.indexed {
			n.class.insert(n, cellAddressOf(n.Available()))
		}
	}
	for _, s := range f.selections {
		f.resolveClasses(s)
	}
}

// classOf returns the class of a worker and creates it if it doesn't exist.
func (f *Fleet) classOf(n *Node) *WorkerClass {
	key := f.classKey(n)
	if c := f.classByKey[key]; c != nil {
		return c
	}
	c := &WorkerClass{
		capacities: make(map[model.Resources]int),
		labels:     make(map[string]string, len(f.labels)),
		zone:       n.Zone(),
		accel:      n.Worker.Capacity.Accelerators > 0,
		pool:       &f.pool,
	}
	for _, label := range f.labels {
		if v, ok := n.Worker.Labels[label]; ok {
			c.labels[label] = v
		}
	}
	f.classByKey[key] = c
	f.classes = append(f.classes, c)
	for _, s := range f.selections {
		s.addClass(c, f.labels)
	}
	return c
}

// removeEmptyClass removes a class if it has no members.
func (f *Fleet) removeEmptyClass(c *WorkerClass) {
	if c.size > 0 {
		return
	}
	isClass := func(other *WorkerClass) bool { return other == c }
	f.classes = slices.DeleteFunc(f.classes, isClass)
	for key, other := range f.classByKey {
		if other == c {
			delete(f.classByKey, key)
		}
	}
	for _, s := range f.selections {
		s.plain = slices.DeleteFunc(s.plain, isClass)
		s.accel = slices.DeleteFunc(s.accel, isClass)
	}
}

// classKey returns the key of a worker's class in classByKey.
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
