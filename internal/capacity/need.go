package capacity

import "pollenbend/internal/model"

// Within reports whether a cost keeps each of the limits, with the garbage that its
// live memory brings.
func (l Limits) Within(c Cost) (core, memory, bytes bool) {
	return c.Core <= l.Core, c.Memory*garbageFactor <= l.Memory, c.Bytes <= l.Bytes
}

// Need is the smallest number of instances that keeps each limit, 0 where none
// does up to the number of shards: an instance without a shard takes no work.
type Need struct {
	Core, Memory, Bytes, All int
	// Traffic is the smallest number whose traffic and control together take at
	// most one core of each instance.
	Traffic int
}

// MinInstances is the smallest number of instances that is weighed.
const MinInstances = 9

// MaxInstances is the largest number of instances that is weighed.
const MaxInstances = model.Shards

// Needed looks for the smallest number of instances.
func (m Model) Needed(limits Limits) Need {
	var need Need
	for n := MinInstances; n <= MaxInstances; n++ {
		m.N = n
		control, traffic := m.Sum(true), m.Sum(false)
		core, memory, bytes := limits.Within(control)
		first(&need.Core, n, core)
		first(&need.Memory, n, memory)
		first(&need.Bytes, n, bytes)
		first(&need.All, n, core && memory && bytes)
		first(&need.Traffic, n, control.Core+traffic.Core <= 1)
	}
	return need
}

// first keeps the first n for which ok holds.
func first(at *int, n int, ok bool) {
	if ok && *at == 0 {
		*at = n
	}
}
