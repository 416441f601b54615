package declare

import (
	"fmt"
	"slices"

	"pollenbend/internal/model"
)

// maxDeleted is the number of deleted objects whose last version is kept.
const maxDeleted = 4096

// maxChangeID is the greatest length of a change id in bytes.
const maxChangeID = 128

// Outcome says what became of a change.
type Outcome uint8

// Outcomes of a change.
const (
	// Accepted means the change took effect.
	Accepted Outcome = iota + 1
	// Conflict means an object was changed after the change's base.
	Conflict
	// Invalid means the declarations would have had a fault.
	Invalid
	// Forgotten means the change lies before the fold's position and its
	// outcome is no longer known. It has no effect now.
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

// Result is what became of a change. Offset is where it was settled first, and
// Repeated is set if it had been settled before. A caller that hears Accepted
// may take Offset as the version that its change made.
type Result struct {
	Outcome   Outcome
	Offset    uint64
	Repeated  bool
	Message   string
	Withdrawn []Withdrawal // of keys that stopped working or lost their scope
}

// Apply folds the change at an offset of the log. A change takes effect if no
// object that it touches was changed after c.Base and the declarations stay
// valid. A change whose id is settled has no further effect.
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
	s.secrets.passed(s.applied)
	return r
}

// Settled returns the result of the change with that id, if it is remembered.
func (s *State) Settled(id string) (Result, bool) { return s.settled.get(id) }

// decide finds the outcome of a change without applying it.
func (s *State) decide(c model.Change) Result {
	if message := s.malformed(c); message != "" {
		return Result{Outcome: Invalid, Message: message}
	}
	if message := s.conflict(c); message != "" {
		return Result{Outcome: Conflict, Message: message}
	}
	after := s.after(c)
	if len(Validate(after)) > 0 {
		// Sorted, the first problem is the same on every instance.
		return Result{Outcome: Invalid, Message: Validate(byName(after))[0].String()}
	}
	if s.HasOperator() && !slices.ContainsFunc(after.Keys, isOperator) {
		return Result{Outcome: Invalid, Message: "expected a key of scope operator to remain"}
	}
	return Result{Outcome: Accepted}
}

// malformed says what is wrong with the change itself.
func (s *State) malformed(c model.Change) string {
	switch {
	case c.ID == "" || len(c.ID) > maxChangeID:
		return fmt.Sprintf("expected a change id of 1 to %d bytes", maxChangeID)
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

// conflict names the first touched object that changed after the base.
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

// after returns the declarations as they would be with the change, unsorted.
func (s *State) after(c model.Change) model.Declarations {
	touched := map[model.ObjectRef]bool{}
	for _, ref := range Touched(c) {
		touched[ref] = true
	}
	stays := func(kind model.ObjectKind, name string) bool {
		return !touched[model.ObjectRef{Kind: kind, Name: name}]
	}
	d := model.Declarations{
		Teams:    values(s.teams, func(id model.TeamID) bool { return stays(model.ObjectTeam, string(id)) }),
		Keys:     values(s.keys, func(name string) bool { return stays(model.ObjectKey, name) }),
		Queues:   values(s.queues, func(name string) bool { return stays(model.ObjectQueue, name) }),
		Services: values(s.services, func(name string) bool { return stays(model.ObjectService, name) }),
		Policies: values(s.policies, func(name string) bool { return stays(model.ObjectPolicy, name) }),
	}
	return merge(d, c.Put)
}

// accept applies a valid change and returns the keys it withdrew.
func (s *State) accept(offset uint64, c model.Change) []Withdrawal {
	withdrawn := s.withdrawnBy(offset, c)
	for _, ref := range c.Delete {
		s.remove(ref)
	}
	s.put(c.Put)
	s.version = offset
	for _, ref := range Touched(c) {
		s.modified[ref] = offset
	}
	if slices.ContainsFunc(Touched(c), isPolicy) {
		s.indexPolicies()
	}
	s.forgetDeleted(c)
	return withdrawn
}

// forgetDeleted keeps the list of deleted objects and drops the oldest beyond
// maxDeleted.
func (s *State) forgetDeleted(c model.Change) {
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
