package fleet

import "pollenbend/internal/model"

// freedRingSize is the number of entries of freedWorkers. A search whose demand was
// refused before checks only these workers, as long as none that was added since
// the refusal has been overwritten.
const freedRingSize = 512

// freedWorkers is a ring buffer of the last workers that may have more capacity
// available than before.
type freedWorkers struct {
	nodes [freedRingSize]*Node
	next  uint64 // sequence number of the next entry
}

// add appends a worker.
func (r *freedWorkers) add(n *Node) {
	r.nodes[r.next%freedRingSize] = n
	r.next++
}

// Search finds feasible workers for one task: workers of a selection with enough
// available capacity for a demand.
type Search struct {
	Selection *Selection
	Demand    model.Resources
	dedicated bool
	fleet     *Fleet
	cells     []rankedCell
	accept    func(*Node) bool // set while Exhaustive runs
	fitCount  int              // feasible workers that Exhaustive has seen
}

// Start prepares a search and reuses the memory of the previous one.
func (s *Search) Start(f *Fleet, selection *Selection, demand model.Resources) {
	s.fleet = f
	s.Selection = selection
	s.Demand = demand
	s.dedicated = !selection.fitsWithoutAccelerators(demand)
}

// Dedicated reports whether only workers with accelerators could ever take the
// demand. It may then use the capacity reserved for free accelerators.
func (s *Search) Dedicated() bool { return s.dedicated }

// fitsWithoutAccelerators reports whether a class without accelerators has a
// worker that the demand would fit if it were empty.
func (s *Selection) fitsWithoutAccelerators(demand model.Resources) bool {
	for _, c := range s.plain {
		if c.fitsEmptyWorker(demand) {
			return true
		}
	}
	return false
}

// Fits reports whether a worker is feasible for the demand now.
func (s *Search) Fits(n *Node) bool {
	return n.indexed && n.probationAllows() && s.Demand.Fits(n.AvailableFor(s.Demand, s.dedicated)) && s.Selection.Matches(n)
}

// Bounds limits the work of one call of Sample.
type Bounds struct {
	Candidates int // feasible workers in total
	PerClass   int // feasible workers of one class
	Probes     int // workers examined in one class
	Classes    int // classes that yield a feasible worker
}

// Sample appends feasible workers to into and returns it. It takes the classes in
// rotation, beginning at index start modulo their number, and from each class the
// cells that the demand fits most tightly. Classes with accelerators are a fallback
// for a demand that doesn't need them.
func (s *Search) Sample(start uint64, b Bounds, into []*Node) []*Node {
	into = s.sample(s.preferredClasses(), start, b, into)
	if len(into) > 0 {
		return into
	}
	return s.sample(s.fallbackClasses(), start, b, into)
}

// preferredClasses returns the classes to search first: for a demand that doesn't
// need accelerators, those without them.
func (s *Search) preferredClasses() []*WorkerClass {
	if s.Demand.Accelerators > 0 || s.dedicated {
		return s.Selection.accel
	}
	return s.Selection.plain
}

// fallbackClasses returns the classes to search if none of the preferred ones has a
// feasible worker.
func (s *Search) fallbackClasses() []*WorkerClass {
	if s.Demand.Accelerators > 0 || s.dedicated {
		return nil
	}
	return s.Selection.accel
}

// sample is Sample for the given classes.
func (s *Search) sample(classes []*WorkerClass, start uint64, b Bounds, into []*Node) []*Node {
	if len(classes) == 0 {
		return into
	}
	first := int(start % uint64(len(classes)))
	classCount := 0 // classes that yielded a feasible worker
	for i := range classes {
		c := classes[(first+i)%len(classes)]
		before := len(into)
		into = s.sampleClass(c, start, b, into)
		if len(into) > before {
			classCount++
		}
		if classCount >= b.Classes || len(into) >= b.Candidates {
			break
		}
	}
	return into
}

// sampleClass appends feasible workers of one class.
func (s *Search) sampleClass(c *WorkerClass, start uint64, b Bounds, into []*Node) []*Node {
	s.cells = c.tightest(s.Demand, s.cells[:0])
	limit := min(len(into)+b.PerClass, b.Candidates)
	probes := 0
	for _, ranked := range s.cells {
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

// Probe returns a random worker of the selection, whether it is feasible or not, or
// nil if the selection is empty. draw returns a random number from 0 to less than
// its argument.
func (s *Search) Probe(draw func(int) int) *Node {
	total := 0
	for _, classes := range [...][]*WorkerClass{s.Selection.plain, s.Selection.accel} {
		for _, c := range classes {
			total += len(c.members)
		}
	}
	if total == 0 {
		return nil
	}
	at := draw(total)
	for _, classes := range [...][]*WorkerClass{s.Selection.plain, s.Selection.accel} {
		for _, c := range classes {
			if at < len(c.members) {
				return c.members[at]
			}
			at -= len(c.members)
		}
	}
	return nil
}

// Exhaustive returns the first feasible worker that accept takes, or nil if there is
// none. If no worker is feasible at all, the selection remembers the refusal, and
// later searches for the same demand check only workers freed since.
func (s *Search) Exhaustive(accept func(*Node) bool) *Node {
	s.accept = accept
	s.fitCount = 0
	n := s.scanAll()
	if n == nil && s.fitCount == 0 {
		s.rememberRefusal()
	}
	s.accept = nil
	return n
}

// scanAll scans the workers freed since an earlier refusal of the same demand, or
// else all classes.
func (s *Search) scanAll() *Node {
	since, ok := s.Selection.refusals[s.Demand]
	if ok && s.fleet.freed.next-since <= freedRingSize {
		return s.scanFreedSince(since)
	}
	if n := s.scanClasses(s.preferredClasses()); n != nil {
		return n
	}
	return s.scanClasses(s.fallbackClasses())
}

// fitsAndAccepted reports whether a worker is feasible and accept takes it.
func (s *Search) fitsAndAccepted(n *Node) bool {
	if !s.Fits(n) {
		return false
	}
	s.fitCount++
	return s.accept(n)
}

// Refused reports whether the same demand was refused before and no worker was
// freed since.
func (s *Search) Refused() bool {
	since, ok := s.Selection.refusals[s.Demand]
	return ok && since == s.fleet.freed.next
}

// scanFreedSince returns the first feasible worker that accept takes among those freed
// since the given sequence number, or nil.
func (s *Search) scanFreedSince(since uint64) *Node {
	ring := &s.fleet.freed
	for seq := since; seq < ring.next; seq++ {
		n := ring.nodes[seq%freedRingSize]
		if s.Selection.matchesLabels(n) && s.fitsAndAccepted(n) {
			return n
		}
	}
	return nil
}

// rememberRefusal records that no worker is feasible for the demand now.
func (s *Search) rememberRefusal() {
	if len(s.Selection.refusals) >= maxRefusals {
		clear(s.Selection.refusals)
	}
	s.Selection.refusals[s.Demand] = s.fleet.freed.next
}

// scanClasses returns the first feasible worker of the classes that accept takes, or
// nil.
func (s *Search) scanClasses(classes []*WorkerClass) *Node {
	var found *Node
	for _, c := range classes {
		done := c.each(s.Demand, func(n *Node) bool {
			if s.fitsAndAccepted(n) {
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

// matchesLabels reports whether the whole selector matches a worker of any class.
func (s *Selection) matchesLabels(n *Node) bool {
	return s.selector.Matches(n.Worker.Labels)
}
