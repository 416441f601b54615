package fleet

import (
	"math/bits"

	"pollenbend/internal/model"
)

// The index keeps each class of workers in cells by free processors and free
// memory. Levels grow by a quarter of an octave, so that a cell's workers differ
// by less than a fifth in each of the two dimensions.
const (
	levels        = 64
	cpuShift      = 3 // level 1 starts at 8 milli-CPU
	memoryShift   = 6 // level 1 starts at 64 MiB
	shelfSlots    = 2 // no free slot, some
	shelfCount    = 5 * shelfSlots
	maxAccelLevel = shelfCount/shelfSlots - 1
)

// level maps an amount to 0..levels-1. It is monotone.
func level(x int64, shift uint) int {
	if x <= 0 {
		return 0
	}
	v := uint64(x) >> shift
	if v == 0 {
		return 0
	}
	e := bits.Len64(v) - 1
	quarter := int(v<<2>>e) & 3
	return min(1+e*4+quarter, levels-1)
}

func accelLevel(x int64) int {
	if x <= 0 {
		return 0
	}
	return min(bits.Len64(uint64(x)), maxAccelLevel)
}

// spot is a place in a class's index.
type spot struct {
	shelf, row, col uint8
}

func spotOf(free model.Resources) spot {
	shelf := accelLevel(free.Accelerators) * shelfSlots
	if free.Slots > 0 {
		shelf++
	}
	return spot{
		shelf: uint8(shelf),
		row:   uint8(level(free.MilliCPU, cpuShift)),
		col:   uint8(level(free.MemoryMiB, memoryShift)),
	}
}

// cell holds the workers of one spot.
type cell struct {
	nodes []*Node
}

// shelf holds the workers of a class with alike free slots and accelerators.
type shelf struct {
	rows  uint64         // rows with workers
	cols  [levels]uint64 // by row: columns with workers
	cells map[uint16]*cell
}

func cellKey(row, col uint8) uint16 { return uint16(row)<<8 | uint16(col) }

// Class is a set of workers that no selector in use can tell apart, in one
// availability zone.
type Class struct {
	labels  map[string]string // the indexed labels only
	zone    string
	accel   bool
	shelves [shelfCount]*shelf
	size    int // workers, whether schedulable or not
	open    int // workers in the index
	pool    *cellPool
	members []*Node
	shapes  map[model.Resources]int // workers that stay, by capacity
}

// join counts a worker as a member of the class.
func (c *Class) join(n *Node) {
	n.member = len(c.members)
	c.members = append(c.members, n)
	c.size++
	if n.reasons&ReasonLeaving == 0 {
		c.shapes[n.Worker.Capacity]++
	}
}

// leave ends a worker's membership.
func (c *Class) leave(n *Node) {
	last := len(c.members) - 1
	c.members[n.member] = c.members[last]
	c.members[n.member].member = n.member
	c.members[last] = nil
	c.members = c.members[:last]
	c.size--
	if n.reasons&ReasonLeaving != 0 {
		return
	}
	c.shapes[n.Worker.Capacity]--
	if c.shapes[n.Worker.Capacity] == 0 {
		delete(c.shapes, n.Worker.Capacity)
	}
}

// couldFit reports whether the demand fits an empty worker of the class.
func (c *Class) couldFit(demand model.Resources) bool {
	for capacity := range c.shapes {
		if demand.Fits(capacity) {
			return true
		}
	}
	return false
}

// cellPool keeps emptied cells for reuse.
type cellPool struct {
	free []*cell
}

func (p *cellPool) get() *cell {
	if len(p.free) == 0 {
		return &cell{}
	}
	c := p.free[len(p.free)-1]
	p.free = p.free[:len(p.free)-1]
	return c
}

func (p *cellPool) put(c *cell) { p.free = append(p.free, c) }

func (c *Class) insert(n *Node, at spot) {
	s := c.shelves[at.shelf]
	if s == nil {
		s = &shelf{cells: make(map[uint16]*cell)}
		c.shelves[at.shelf] = s
	}
	key := cellKey(at.row, at.col)
	list := s.cells[key]
	if list == nil {
		list = c.pool.get()
		s.cells[key] = list
		s.rows |= 1 << at.row
		s.cols[at.row] |= 1 << at.col
	}
	n.spot = at
	n.pos = len(list.nodes)
	n.indexed = true
	list.nodes = append(list.nodes, n)
	c.open++
}

func (c *Class) delete(n *Node) {
	s := c.shelves[n.spot.shelf]
	key := cellKey(n.spot.row, n.spot.col)
	list := s.cells[key]
	last := len(list.nodes) - 1
	moved := list.nodes[last]
	list.nodes[n.pos] = moved
	moved.pos = n.pos
	list.nodes[last] = nil
	list.nodes = list.nodes[:last]
	n.indexed = false
	c.open--
	if last > 0 {
		return
	}
	delete(s.cells, key)
	c.pool.put(list)
	s.cols[n.spot.row] &^= 1 << n.spot.col
	if s.cols[n.spot.row] == 0 {
		s.rows &^= 1 << n.spot.row
	}
}

// rankedCell is a cell and its distance from the tightest fit, in levels.
type rankedCell struct {
	nodes    []*Node
	distance int
}

// maxTightCells bounds the cells taken from one class in one search.
const maxTightCells = 4

// tightest appends to into the non-empty cells that fit demand most tightly, the
// tightest first, at most maxTightCells of them.
func (c *Class) tightest(demand model.Resources, into []rankedCell) []rankedCell {
	base := len(into)
	first := spotOf(demand)
	for i := int(first.shelf); i < shelfCount; i++ {
		s := c.shelves[i]
		if s == nil || i%shelfSlots < int(first.shelf)%shelfSlots {
			continue
		}
		into = s.tightest(first, into, base)
	}
	return into
}

func (s *shelf) tightest(first spot, into []rankedCell, base int) []rankedCell {
	rows := s.rows >> first.row << first.row
	for ; rows != 0; rows &= rows - 1 {
		row := uint8(bits.TrailingZeros64(rows))
		cols := s.cols[row] >> first.col << first.col
		for taken := 0; cols != 0 && taken < 2; taken++ {
			col := uint8(bits.TrailingZeros64(cols))
			cols &= cols - 1
			distance := int(row-first.row) + int(col-first.col)
			if full := len(into)-base >= maxTightCells; full && into[len(into)-1].distance <= distance {
				break
			}
			found := rankedCell{nodes: s.cells[cellKey(row, col)].nodes, distance: distance}
			into = insertRanked(into, base, found)
		}
	}
	return into
}

func insertRanked(into []rankedCell, base int, found rankedCell) []rankedCell {
	if len(into)-base < maxTightCells {
		into = append(into, found)
	} else {
		into[len(into)-1] = found
	}
	for i := len(into) - 1; i > base && into[i-1].distance > into[i].distance; i-- {
		into[i-1], into[i] = into[i], into[i-1]
	}
	return into
}

// each calls visit for every indexed worker that may fit demand until visit
// returns false. It reports whether it reached the end.
func (c *Class) each(demand model.Resources, visit func(*Node) bool) bool {
	first := spotOf(demand)
	for i := int(first.shelf); i < shelfCount; i++ {
		s := c.shelves[i]
		if s == nil || i%shelfSlots < int(first.shelf)%shelfSlots {
			continue
		}
		if !s.each(first, visit) {
			return false
		}
	}
	return true
}

func (s *shelf) each(first spot, visit func(*Node) bool) bool {
	rows := s.rows >> first.row << first.row
	for ; rows != 0; rows &= rows - 1 {
		row := uint8(bits.TrailingZeros64(rows))
		cols := s.cols[row] >> first.col << first.col
		for ; cols != 0; cols &= cols - 1 {
			col := uint8(bits.TrailingZeros64(cols))
			for _, n := range s.cells[cellKey(row, col)].nodes {
				if !visit(n) {
					return false
				}
			}
		}
	}
	return true
}
