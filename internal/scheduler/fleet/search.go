package fleet

import "pollenbend/internal/model"

// ringSize is the number of workers remembered as changed. A search that was
// refused earlier looks only at these as long as they reach back that far.
const ringSize = 512

// freedRing remembers the last workers whose free capacity grew.
type freedRing struct {
	nodes [ringSize]*Node
	next  uint64
}

func (r *freedRing) add(n *Node) {
	r.nodes[r.next%ringSize] = n
	r.next++
}

// Search is a search for one task's demand in one selection.
type Search struct {
	Selection *Selection
	Demand    model.Resources
	dedicated bool
	fleet     *Fleet
	ranked    []rankedCell
	accept    func(*Node) bool
	fitting   int
}

// Start prepares a search. It reuses the memory of the search before.
func (s *Search) Start(f *Fleet, selection *Selection, demand model.Resources) {
	s.fleet = f
	s.Selection = selection
	s.Demand = demand
	s.dedicated = !selection.plainCouldFit(demand)
}

// Dedicated reports whether only workers with accelerators could ever take the
// demand, so that nothing is kept from it there.
func (s *Search) Dedicated() bool { return s.dedicated }

func (s *Selection) plainCouldFit(demand model.Resources) bool {
	for _, c := range s.plain {
		if c.couldFit(demand) {
			return true
		}
	}
	return false
}

// Fits reports whether a worker may take the demand now.
func (s *Search) Fits(n *Node) bool {
	return n.indexed && n.admits() && s.Demand.Fits(n.Room(s.Demand, s.dedicated)) && s.Selection.Matches(n)
}

// Bounds limits one sample of candidates.
type Bounds struct {
	Candidates int // workers that fit, in all
	PerClass   int // workers that fit, in one class
	Probes     int // workers looked at, in one class
	Classes    int // classes with a worker that fits
}

// Sample appends workers that fit to into, from classes in rotating order from
// start and the tightest cells of each.
func (s *Search) Sample(start uint64, b Bounds, into []*Node) []*Node {
	into = s.sample(s.preferredClasses(), start, b, into)
	if len(into) > 0 {
		return into
	}
	return s.sample(s.otherClasses(), start, b, into)
}

// preferredClasses keeps work that needs no accelerator away from them.
func (s *Search) preferredClasses() []*Class {
	if s.Demand.Accelerators > 0 || s.dedicated {
		return s.Selection.accel
	}
	return s.Selection.plain
}

func (s *Search) otherClasses() []*Class {
	if s.Demand.Accelerators > 0 || s.dedicated {
		return nil
	}
	return s.Selection.accel
}

func (s *Search) sample(classes []*Class, start uint64, b Bounds, into []*Node) []*Node {
	if len(classes) == 0 {
		return into
	}
	first := int(start % uint64(len(classes)))
	hits := 0
	for i := range classes {
		c := classes[(first+i)%len(classes)]
		before := len(into)
		into = s.sampleClass(c, start, b, into)
		if len(into) > before {
			hits++
		}
		if hits >= b.Classes || len(into) >= b.Candidates {
			break
		}
	}
	return into
}

func (s *Search) sampleClass(c *Class, start uint64, b Bounds, into []*Node) []*Node {
	s.ranked = c.tightest(s.Demand, s.ranked[:0])
	limit := min(len(into)+b.PerClass, b.Candidates)
	probes := 0
	for _, ranked := range s.ranked {
		size := len(ranked.nodes)
		first := int(start % uint64(size))
		for i := 0; i < size && probes < b.Probes; i++ {
			n := ranked.nodes[(first+i)%size]
			probes++
			if !s.Fits(n) {
				continue
			}
			into = append(into, n)
			if len(into) >= limit {
				return into
			}
		}
	}
	return into
}

// Probe returns a worker of the selection at random, whether it has room or not,
// or nil when the selection is empty. draw returns a number below its argument.
func (s *Search) Probe(draw func(int) int) *Node {
	total := 0
	for _, classes := range [...][]*Class{s.Selection.plain, s.Selection.accel} {
		for _, c := range classes {
			total += len(c.members)
		}
	}
	if total == 0 {
		return nil
	}
	at := draw(total)
	for _, classes := range [...][]*Class{s.Selection.plain, s.Selection.accel} {
		for _, c := range classes {
			if at < len(c.members) {
				return c.members[at]
			}
			at -= len(c.members)
		}
	}
	return nil
}

// Exhaustive returns some worker that fits and that accept takes, or nil when
// there is none. That none fits is remembered: as long as it holds, only workers
// that changed since are looked at.
func (s *Search) Exhaustive(accept func(*Node) bool) *Node {
	s.accept = accept
	s.fitting = 0
	n := s.exhaustive()
	if n == nil && s.fitting == 0 {
		s.refuse()
	}
	s.accept = nil
	return n
}

func (s *Search) exhaustive() *Node {
	since, ok := s.Selection.shapes[s.Demand]
	if ok && s.fleet.freed.next-since <= ringSize {
		return s.changedSince(since)
	}
	if n := s.scan(s.preferredClasses()); n != nil {
		return n
	}
	return s.scan(s.otherClasses())
}

// take reports whether a worker fits and is accepted.
func (s *Search) take(n *Node) bool {
	if !s.Fits(n) {
		return false
	}
	s.fitting++
	return s.accept(n)
}

// Refused reports whether the same demand was refused and no worker's free
// capacity grew since.
func (s *Search) Refused() bool {
	since, ok := s.Selection.shapes[s.Demand]
	return ok && since == s.fleet.freed.next
}

func (s *Search) changedSince(since uint64) *Node {
	ring := &s.fleet.freed
	for seq := since; seq < ring.next; seq++ {
		n := ring.nodes[seq%ringSize]
		if s.Selection.allows(n) && s.take(n) {
			return n
		}
	}
	return nil
}

func (s *Search) refuse() {
	if len(s.Selection.shapes) >= maxShapes {
		clear(s.Selection.shapes)
	}
	s.Selection.shapes[s.Demand] = s.fleet.freed.next
}

func (s *Search) scan(classes []*Class) *Node {
	var found *Node
	for _, c := range classes {
		done := c.each(s.Demand, func(n *Node) bool {
			if s.take(n) {
				found = n
			}
			return found == nil
		})
		if !done {
			return found
		}
	}
	return nil
}

// allows reports whether the whole selector matches a worker, whatever its class.
func (s *Selection) allows(n *Node) bool {
	return s.selector.Matches(n.Worker.Labels)
}
