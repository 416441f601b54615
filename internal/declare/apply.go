package declare

import (
	"fmt"
	"slices"

	"pollenbend/internal/model"
)

// maxDeleted is the maximum number of deleted objects whose last version is kept.
const maxDeleted = 4096

// maxChangeIDBytes is the maximum length of a change id.
const maxChangeIDBytes = 128

// Outcome is the decision about a change.
type Outcome uint8

// Outcomes of a change.
const (
	// Accepted means the change took effect.
	Accepted Outcome = iota + 1
	// Conflict means the change's base is too old for the objects that it
	// touches, or it deletes an object that is not declared.
	Conflict
	// Invalid means the change is malformed, or would have made the declarations
	// invalid or removed the last operator key.
	Invalid
	// Forgotten means the change precedes the last applied offset and its
	// outcome is no longer stored. Applying it again has no effect.
	Forgotten
)

var outcomeNames = [...]string{Accepted: "accepted", Conflict: "conflict", Invalid: "invalid", Forgotten: "forgotten"}

// String returns the name used in answers and logs.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) && o > 0 {
		return outcomeNames[o]
	}
	return fmt.Sprintf("outcome(%d)", uint8(o))
}

// Result is the outcome of a change. Offset is the log offset at which the
// outcome was first decided, and Repeated is set if it had been decided before.
// If Outcome is Accepted, Offset is the version that the change produced.
type Result struct {
	Outcome   Outcome
	Offset    uint64
	Repeated  bool
	Message   string
	Withdrawn []Withdrawal // keys that the change deleted or altered
}

// Apply applies the change at an offset of the log to the state. A change takes
// effect if no object that it touches was modified after c.Base and the
// declarations stay valid. A change whose id already has a stored result has no
// further effect.
func (s *State) Apply(offset uint64, c model.Change) Result {
	if r, ok := s.settled.get(c.ID); ok {
		s.applied = max(s.applied, offset)
		r.Repeated = true
		return r
	}
	if offset < s.applied {
		return Result{Outcome: Forgotten, Offset: offset, Message: "the change is older than the state"}
	}
	s.applied = offset
	r := s.decide(c)
	r.Offset = offset
	if r.Outcome == Accepted {
		r.Withdrawn = s.accept(offset, c)
	}
	s.settled.add(c.ID, r)
	s.secrets.dropAppliedWithdrawals(s.applied)
	return r
}

// Settled returns the result of the change with that id, if it is still stored.
func (s *State) Settled(id string) (Result, bool) { return s.settled.get(id) }

// decide returns the outcome of a change without applying it.
func (s *State) decide(c model.Change) Result {
	if message := s.malformed(c); message != "" {
		return Result{Outcome: Invalid, Message: message}
	}
	if message := s.conflict(c); message != "" {
		return Result{Outcome: Conflict, Message: message}
	}
	after := s.declarationsAfter(c)
	if len(Validate(after)) > 0 {
		// Maps have no fixed order. Sorting makes every instance report the same
		// first problem.
		return Result{Outcome: Invalid, Message: Validate(sortByName(after))[0].String()}
	}
	if s.HasOperatorKey() && !slices.ContainsFunc(after.Keys, isOperatorKey) {
		return Result{Outcome: Invalid, Message: "expected a key of scope operator to remain"}
	}
	return Result{Outcome: Accepted}
}

// malformed describes what is wrong with the change itself, or returns "".
func (s *State) malformed(c model.Change) string {
	switch {
	case c.ID == "" || len(c.ID) > maxChangeIDBytes:
		return fmt.Sprintf("expected a change id of 1 to %d bytes", maxChangeIDBytes)
	case c.Base > s.version:
		return fmt.Sprintf("expected a base of at most version %d, got %d", s.version, c.Base)
	case IsEmpty(c):
		return "expected a change that touches an object"
	}
	touched := map[model.ObjectRef]bool{}
	for _, ref := range Touched(c) {
		if touched[ref] {
			return fmt.Sprintf("expected each object once, got %s %q again", ref.Kind, ref.Name)
		}
		touched[ref] = true
	}
	return ""
}

// conflict describes the first reason why the change conflicts with the state, or
// returns "".
func (s *State) conflict(c model.Change) string {
	for _, ref := range Touched(c) {
		if v := s.modified[ref]; v > c.Base {
			return fmt.Sprintf("%s %q was changed at version %d, after base %d", ref.Kind, ref.Name, v, c.Base)
		}
	}
	if c.Base < s.floor {
		return fmt.Sprintf("base %d is older than version %d, from which on changes are compared", c.Base, s.floor)
	}
	for _, ref := range c.Delete {
		if !s.declared(ref) {
			return fmt.Sprintf("%s %q is not declared", ref.Kind, ref.Name)
		}
	}
	return ""
}

// declarationsAfter returns the declarations that would result from the change,
// unsorted.
func (s *State) declarationsAfter(c model.Change) model.Declarations {
	touched := map[model.ObjectRef]bool{}
	for _, ref := range Touched(c) {
		touched[ref] = true
	}
	untouched := func(kind model.ObjectKind, name string) bool {
		return !touched[model.ObjectRef{Kind: kind, Name: name}]
	}
	d := model.Declarations{
		Teams:    filterValues(s.teams, func(id model.TeamID) bool { return untouched(model.ObjectTeam, string(id)) }),
		Keys:     filterValues(s.keys, func(name string) bool { return untouched(model.ObjectKey, name) }),
		Queues:   filterValues(s.queues, func(name string) bool { return untouched(model.ObjectQueue, name) }),
		Services: filterValues(s.services, func(name string) bool { return untouched(model.ObjectService, name) }),
		Policies: filterValues(s.policies, func(name string) bool { return untouched(model.ObjectPolicy, name) }),
	}
	return merge(d, c.Put)
}

// accept applies a valid change and returns the keys it withdrew.
func (s *State) accept(offset uint64, c model.Change) []Withdrawal {
	withdrawn := s.withdrawals(offset, c)
	for _, ref := range c.Delete {
		s.remove(ref)
	}
	s.put(c.Put)
	s.version = offset
	for _, ref := range Touched(c) {
		s.modified[ref] = offset
	}
	if slices.ContainsFunc(Touched(c), isPolicyRef) {
		s.indexPolicies()
	}
	s.trackDeleted(c)
	return withdrawn
}

// trackDeleted updates the list of deleted objects and drops the oldest beyond
// maxDeleted. Changes with a base older than a dropped deletion are conflicts.
func (s *State) trackDeleted(c model.Change) {
	put := map[model.ObjectRef]bool{}
	for _, ref := range Refs(c.Put) {
		put[ref.ObjectRef] = true
	}
	s.deleted = slices.DeleteFunc(s.deleted, func(ref model.ObjectRef) bool { return put[ref] })
	s.deleted = append(s.deleted, c.Delete...)
	for len(s.deleted) > maxDeleted {
		oldest := s.deleted[0]
		s.floor = max(s.floor, s.modified[oldest])
		delete(s.modified, oldest)
		s.deleted = s.deleted[1:]
	}
}
