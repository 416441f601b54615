package node

import (
	"pollenbend/internal/kernel"
	"pollenbend/internal/model"
	"pollenbend/internal/service"
	"pollenbend/internal/wire"
)

// View is a snapshot of the core's state for other goroutines. It is replaced on
// every tick.
type View struct {
	Ready   bool
	Reason  string
	Drained bool

	WaitingCallers int // callers waiting for an answer
	OpenRequests   int // requests coordinated here without a final answer
	OwnedShards    int // shards owned by this instance
	HeldWorkers    int // workers whose shards this instance owns, with or without a lease
	LeasedWorkers  int // workers whose lease this instance holds and whose state it knows completely
	Free           model.Resources
	ConfigVersion  uint64 // version of the configuration in force
	AppliedOffset  uint64 // offset of the last log entry applied
}

// probe reads a View from the core's services. It may only be used on the
// goroutine that owns the core.
type probe struct {
	config    configProbe
	ownership ownershipProbe
	ledger    ledgerProbe
	gateway   interface{ Open() int }
	requests  interface{ OpenRequests() int }
	handover  interface{ Drained() bool }
}

type configProbe interface {
	Fresh() bool
	Version() uint64
}

type ownershipProbe interface {
	ReachableShards() int
	Owned() []wire.ShardTerm
	Applied() uint64
}

type ledgerProbe interface {
	HeldWorkers() []model.WorkerID
	Coverage() wire.Coverage
	Free() model.Resources
}

func newProbe(k *kernel.Kernel) (p probe, err error) {
	if p.config, err = kernel.Find[configProbe](k, service.Config); err != nil {
		return p, err
	}
	if p.ownership, err = kernel.Find[ownershipProbe](k, service.Ownership); err != nil {
		return p, err
	}
	if p.ledger, err = kernel.Find[ledgerProbe](k, service.Ledger); err != nil {
		return p, err
	}
	if p.requests, err = kernel.Find[interface{ OpenRequests() int }](k, service.Requests); err != nil {
		return p, err
	}
	if p.handover, err = kernel.Find[interface{ Drained() bool }](k, service.Handover); err != nil {
		return p, err
	}
	p.gateway, err = kernel.Find[interface{ Open() int }](k, service.Gateway)
	return p, err
}

func (p probe) view(draining bool) *View {
	v := &View{Ready: true}
	switch {
	case draining:
		v.Ready, v.Reason = false, "draining"
	case !p.config.Fresh():
		v.Ready, v.Reason = false, "neither the log nor enough peers were heard lately"
	case 2*p.ownership.ReachableShards() < model.Shards:
		v.Ready, v.Reason = false, "most shards have no reachable owner"
	}
	v.WaitingCallers, v.OpenRequests = p.gateway.Open(), p.requests.OpenRequests()
	v.OwnedShards, v.AppliedOffset = len(p.ownership.Owned()), p.ownership.Applied()
	v.HeldWorkers, v.LeasedWorkers, v.Free = len(p.ledger.HeldWorkers()), len(p.ledger.Coverage().Workers), p.ledger.Free()
	v.ConfigVersion = p.config.Version()
	v.Drained = v.WaitingCallers == 0 && v.OpenRequests == 0 && p.handover.Drained()
	return v
}
