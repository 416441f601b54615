package declare

import "pollenbend/internal/model"

// IndexedRef refers to an object and holds its index among those of its kind.
type IndexedRef struct {
	model.ObjectRef
	Index int
}

// Refs returns references to all objects of d, grouped by kind.
func Refs(d model.Declarations) []IndexedRef {
	var refs []IndexedRef
	add := func(kind model.ObjectKind, name string, i int) {
		refs = append(refs, IndexedRef{model.ObjectRef{Kind: kind, Name: name}, i})
	}
	for i, t := range d.Teams {
		add(model.ObjectTeam, string(t.Name), i)
	}
	for i, k := range d.Keys {
		add(model.ObjectKey, k.Name, i)
	}
	for i, q := range d.Queues {
		add(model.ObjectQueue, q.Name, i)
	}
	for i, s := range d.Services {
		add(model.ObjectService, s.Name, i)
	}
	for i, p := range d.Policies {
		add(model.ObjectPolicy, p.Name, i)
	}
	return refs
}
