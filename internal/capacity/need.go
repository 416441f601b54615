package capacity

import "pollenbend/internal/model"

// Within reports for each limit whether a cost is within it. The live memory counts
// heapMultiplier times, for the garbage that the heap holds.
func (l Limits) Within(c Cost) (core, memory, bytes bool) {
	return c.Core <= l.Core, c.Memory*heapMultiplier <= l.Memory, c.Bytes <= l.BytesPerSecond
}

// Need holds the smallest number of instances whose control is within each limit, or
// 0 if there is none up to the number of shards. More instances than shards don't
// help: an instance without a shard gets no work.
type Need struct {
	Core, Memory, Bytes, All int
	// Traffic is the smallest number with which traffic and control together use
	// at most one core of each instance.
	Traffic int
}

// MinInstances is the smallest number of instances that Needed considers.
const MinInstances = 9

// MaxInstances is the largest number of instances that Needed considers.
const MaxInstances = model.Shards

// Needed returns the smallest number of instances whose control is within each limit.
func (m Model) Needed(limits Limits) Need {
	var need Need
	for n := MinInstances; n <= MaxInstances; n++ {
		m.Instances = n
		control, traffic := m.Sum(true), m.Sum(false)
		core, memory, bytes := limits.Within(control)
		setFirst(&need.Core, n, core)
		setFirst(&need.Memory, n, memory)
		setFirst(&need.Bytes, n, bytes)
		setFirst(&need.All, n, core && memory && bytes)
		setFirst(&need.Traffic, n, control.Core+traffic.Core <= 1)
	}
	return need
}

// setFirst sets target to n if ok is true and target is not set yet.
func setFirst(target *int, n int, ok bool) {
	if ok && *target == 0 {
		*target = n
	}
}
