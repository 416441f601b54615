package node

import "math"

// minSlowdown is the slowdown of the processor from which an instance counts as having less
// CPU. It is above what changes of its clock rate and other processes cause.
const minSlowdown = 2.5

// measureCPU measures the slowdown of the processor and logs when the instance becomes
// slow or recovers.
func (n *Node) measureCPU() {
	if n.settings.Slowdown == nil {
		return
	}
	share, slowdown := n.settings.CPUShare, n.settings.Slowdown()
	if slowdown >= minSlowdown {
		share /= slowdown
	}
	previous := math.Float64frombits(n.usableCPU.Swap(math.Float64bits(share)))
	if wasSlow, isSlow := previous < n.settings.CPUShare, share < n.settings.CPUShare; wasSlow != isSlow {
		n.log.Info("processor speed changed", "slow", isSlow, "slowdown", slowdown, "leads", n.leading.Load() != nil)
	}
}

// cpuShare returns the CPU that the instance can use at present, in cores: its share,
// divided by the slowdown of the processor if that is at least minSlowdown.
func (n *Node) cpuShare() float64 { return math.Float64frombits(n.usableCPU.Load()) }
