package fleet

import (
	"math/bits"

	"pollenbend/internal/model"
)

// The index keeps the workers of each class in grids, one for each combination of
// accelerator level and free task slots. A grid has one row for each level of available
// processors and one column for each level of available memory. There are four levels
// for each doubling of the amount, so that the workers of a cell differ by less than a
// fifth in each of the two dimensions, except in the first and the last level.
const (
	levelCount    = 64
	cpuShift      = 3              // level 1 starts at 8 milli-CPU
	memoryShift   = 6              // level 1 starts at 64 MiB
	slotLevels    = 2              // no free task slot; at least one
	gridCount     = 5 * slotLevels // for 0, 1, 2 to 3, 4 to 7, and 8 or more accelerators
	maxAccelLevel = gridCount/slotLevels - 1
)

// level maps an amount to a level from 0 to levelCount-1. It is monotonic.
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
	return min(1+e*4+quarter, levelCount-1)
}

// accelLevel maps a number of accelerators to a level from 0 to maxAccelLevel.
func accelLevel(x int64) int {
	if x <= 0 {
		return 0
	}
	return min(bits.Len64(uint64(x)), maxAccelLevel)
}

// cellAddress identifies a cell in the grids of a class.
type cellAddress struct {
	grid, row, col uint8
}

// cellAddressOf returns the cell of workers with the given resources available.
func cellAddressOf(free model.Resources) cellAddress {
	gridIndex := accelLevel(free.Accelerators) * slotLevels
	if free.Slots > 0 {
		gridIndex++
	}
	return cellAddress{
		grid: uint8(gridIndex),
		row:  uint8(level(free.MilliCPU, cpuShift)),
		col:  uint8(level(free.MemoryMiB, memoryShift)),
	}
}

// cell holds the workers of a class with the same levels of available resources.
type cell struct {
	nodes []*Node
}

// grid holds the cells of one accelerator level, with or without free task slots.
type grid struct {
	rows  uint64             // bit set of the rows with workers
	cols  [levelCount]uint64 // by row: bit set of the columns with workers
	cells map[uint16]*cell
}

func cellKey(row, col uint8) uint16 { return uint16(row)<<8 | uint16(col) }

// WorkerClass is a set of workers of one availability zone with the same values of
// the indexed labels. They all have accelerators, or none has.
type WorkerClass struct {
	labels     map[string]string // the indexed labels only
	zone       string
	accel      bool
	grids      [gridCount]*grid
	size       int // members, schedulable or not
	indexed    int // members in the index
	pool       *cellPool
	members    []*Node
	capacities map[model.Resources]int // members that aren't leaving, by capacity
}

// addMember adds a worker to the members of the class, not to its index.
func (c *WorkerClass) addMember(n *Node) {
	n.classPos = len(c.members)
	c.members = append(c.members, n)
	c.size++
	if n.reasons&ReasonLeaving == 0 {
		c.capacities[n.Worker.Capacity]++
	}
}

// removeMember undoes addMember.
func (c *WorkerClass) removeMember(n *Node) {
	last := len(c.members) - 1
	c.members[n.classPos] = c.members[last]
	c.members[n.classPos].classPos = n.classPos
	c.members[last] = nil
	c.members = c.members[:last]
	c.size--
	if n.reasons&ReasonLeaving != 0 {
		return
	}
	c.capacities[n.Worker.Capacity]--
	if c.capacities[n.Worker.Capacity] == 0 {
		delete(c.capacities, n.Worker.Capacity)
	}
}

// fitsEmptyWorker reports whether the demand would fit a member that is empty and
// not leaving.
func (c *WorkerClass) fitsEmptyWorker(demand model.Resources) bool {
	for capacity := range c.capacities {
		if demand.Fits(capacity) {
			return true
		}
	}
	return false
}

// cellPool keeps empty cells for reuse.
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

// insert adds a worker to a cell of the index.
func (c *WorkerClass) insert(n *Node, at cellAddress) {
	g := c.grids[at.grid]
	if g == nil {
		g = &grid{cells: make(map[uint16]*cell)}
		c.grids[at.grid] = g
	}
	key := cellKey(at.row, at.col)
	list := g.cells[key]
	if list == nil {
		list = c.pool.get()
		g.cells[key] = list
		g.rows |= 1 << at.row
		g.cols[at.row] |= 1 << at.col
	}
	n.cellAt = at
	n.cellPos = len(list.nodes)
	n.indexed = true
	list.nodes = append(list.nodes, n)
	c.indexed++
}

// delete removes a worker from its cell, and the cell from the index if it was the
// last one there.
func (c *WorkerClass) delete(n *Node) {
	g := c.grids[n.cellAt.grid]
	key := cellKey(n.cellAt.row, n.cellAt.col)
	list := g.cells[key]
	last := len(list.nodes) - 1
	moved := list.nodes[last]
	list.nodes[n.cellPos] = moved
	moved.cellPos = n.cellPos
	list.nodes[last] = nil
	list.nodes = list.nodes[:last]
	n.indexed = false
	c.indexed--
	if last > 0 {
		return
	}
	delete(g.cells, key)
	c.pool.put(list)
	g.cols[n.cellAt.row] &^= 1 << n.cellAt.col
	if g.cols[n.cellAt.row] == 0 {
		g.rows &^= 1 << n.cellAt.row
	}
}

// rankedCell is the content of a cell and its distance from the tightest fit, in
// levels.
type rankedCell struct {
	nodes    []*Node
	distance int
}

// maxTightCells is the maximum number of cells taken from one class in one search.
const maxTightCells = 4

// tightest appends to into the non-empty cells that fit demand most tightly, in
// increasing order of distance and at most maxTightCells of them.
func (c *WorkerClass) tightest(demand model.Resources, into []rankedCell) []rankedCell {
	base := len(into)
	first := cellAddressOf(demand)
	for i := int(first.grid); i < gridCount; i++ {
		g := c.grids[i]
		if g == nil || i%slotLevels < int(first.grid)%slotLevels {
			continue
		}
		into = g.tightest(first, into, base)
	}
	return into
}

// tightest merges the cells of one grid into the ranking that starts at into[base].
// It takes at most two cells of each row.
func (g *grid) tightest(first cellAddress, into []rankedCell, base int) []rankedCell {
	rows := g.rows >> first.row << first.row
	for ; rows != 0; rows &= rows - 1 {
		row := uint8(bits.TrailingZeros64(rows))
		cols := g.cols[row] >> first.col << first.col
		for taken := 0; cols != 0 && taken < 2; taken++ {
			col := uint8(bits.TrailingZeros64(cols))
			cols &= cols - 1
			distance := int(row-first.row) + int(col-first.col)
			if full := len(into)-base >= maxTightCells; full && into[len(into)-1].distance <= distance {
				break
			}
			found := rankedCell{nodes: g.cells[cellKey(row, col)].nodes, distance: distance}
			into = insertRanked(into, base, found)
		}
	}
	return into
}

// insertRanked inserts a cell into the ranking that starts at into[base], in place of
// the last one if the ranking is full.
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
func (c *WorkerClass) each(demand model.Resources, visit func(*Node) bool) bool {
	first := cellAddressOf(demand)
	for i := int(first.grid); i < gridCount; i++ {
		g := c.grids[i]
		if g == nil || i%slotLevels < int(first.grid)%slotLevels {
			continue
		}
		if !g.each(first, visit) {
			return false
		}
	}
	return true
}

// each calls visit for every worker in the cells from first on, like
// WorkerClass.each.
func (g *grid) each(first cellAddress, visit func(*Node) bool) bool {
	rows := g.rows >> first.row << first.row
	for ; rows != 0; rows &= rows - 1 {
		row := uint8(bits.TrailingZeros64(rows))
		cols := g.cols[row] >> first.col << first.col
		for ; cols != 0; cols &= cols - 1 {
			col := uint8(bits.TrailingZeros64(cols))
			for _, n := range g.cells[cellKey(row, col)].nodes {
				if !visit(n) {
					return false
				}
			}
		}
	}
	return true
}
