package declare

import (
	"cmp"
	"slices"

	"pollenbend/internal/model"
)

// State holds the current declarations, the result of applying all changes in the
// log in order. Two states that applied the same entries are equal. A State is not
// safe for concurrent use.
type State struct {
	version uint64 // offset of the last accepted change
	applied uint64 // offset of the last applied change, accepted or not

	teams          map[model.TeamID]model.Team
	keys           map[string]model.Key
	queues         map[string]model.Queue
	services       map[string]model.Service
	policies       map[string]model.Policy
	policiesByTeam map[model.TeamID][]policyWithLocation // sorted by name

	// modified holds the version of the last change to each object, including
	// deleted ones. Beyond maxDeleted the oldest deleted ones are dropped; floor
	// is the newest version dropped so far.
	modified map[model.ObjectRef]uint64
	deleted  []model.ObjectRef // oldest first
	floor    uint64

	settled settledChanges
	secrets secretIndex
}

// NewState returns a state with nothing declared, at version 0.
func NewState() *State {
	return &State{
		teams:    map[model.TeamID]model.Team{},
		keys:     map[string]model.Key{},
		queues:   map[string]model.Queue{},
		services: map[string]model.Service{},
		policies: map[string]model.Policy{},
		modified: map[model.ObjectRef]uint64{},
		settled:  newSettledChanges(),
		secrets:  newSecretIndex(),
	}
}

// Version returns the offset of the last accepted change. It never decreases.
func (s *State) Version() uint64 { return s.version }

// Applied returns the offset of the last applied change, accepted or not.
func (s *State) Applied() uint64 { return s.applied }

// Team returns the declared team of that name.
func (s *State) Team(id model.TeamID) (model.Team, bool) {
	t, ok := s.teams[id]
	return t, ok
}

// Queue returns the declared queue of that name.
func (s *State) Queue(name string) (model.Queue, bool) {
	q, ok := s.queues[name]
	return q, ok
}

// Service returns the declared service of that name.
func (s *State) Service(name string) (model.Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Modified returns the version of the last change to an object, or 0 if none is
// known.
func (s *State) Modified(ref model.ObjectRef) uint64 { return s.modified[ref] }

// Declarations returns all declared objects, sorted by name.
func (s *State) Declarations() model.Declarations {
	return sortByName(s.declarationsAfter(model.Change{}))
}

// sortByName sorts each kind of object in place and returns d.
func sortByName(d model.Declarations) model.Declarations {
	slices.SortFunc(d.Teams, func(a, b model.Team) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(d.Keys, func(a, b model.Key) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(d.Queues, func(a, b model.Queue) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(d.Services, func(a, b model.Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(d.Policies, func(a, b model.Policy) int { return cmp.Compare(a.Name, b.Name) })
	return d
}

// filterValues returns the values of m whose keys satisfy keep, unordered.
func filterValues[K comparable, V any](m map[K]V, keep func(K) bool) []V {
	if len(m) == 0 {
		return nil
	}
	list := make([]V, 0, len(m))
	for k, v := range m {
		if keep(k) {
			list = append(list, v)
		}
	}
	return list
}

// put adds or replaces every object of d.
func (s *State) put(d model.Declarations) {
	for _, t := range d.Teams {
		s.teams[t.Name] = t
	}
	for _, k := range d.Keys {
		s.secrets.remove(s.keys[k.Name])
		s.keys[k.Name] = k
	}
	for _, k := range d.Keys {
		s.secrets.add(k)
	}
	for _, q := range d.Queues {
		s.queues[q.Name] = q
	}
	for _, v := range d.Services {
		s.services[v.Name] = v
	}
	for _, p := range d.Policies {
		s.policies[p.Name] = p
	}
}

// remove deletes the named object.
func (s *State) remove(ref model.ObjectRef) {
	switch ref.Kind {
	case model.ObjectTeam:
		delete(s.teams, model.TeamID(ref.Name))
	case model.ObjectKey:
		s.secrets.remove(s.keys[ref.Name])
		delete(s.keys, ref.Name)
	case model.ObjectQueue:
		delete(s.queues, ref.Name)
	case model.ObjectService:
		delete(s.services, ref.Name)
	case model.ObjectPolicy:
		delete(s.policies, ref.Name)
	}
}

// declared reports whether the named object exists.
func (s *State) declared(ref model.ObjectRef) bool {
	ok := false
	switch ref.Kind {
	case model.ObjectTeam:
		_, ok = s.teams[model.TeamID(ref.Name)]
	case model.ObjectKey:
		_, ok = s.keys[ref.Name]
	case model.ObjectQueue:
		_, ok = s.queues[ref.Name]
	case model.ObjectService:
		_, ok = s.services[ref.Name]
	case model.ObjectPolicy:
		_, ok = s.policies[ref.Name]
	}
	return ok
}
