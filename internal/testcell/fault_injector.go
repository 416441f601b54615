package testcell

import (
	"pollenbend/internal/event"
	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/standin"
)

// LogFaults are the injected faults of the log.
type LogFaults = standin.LogFaults

// FaultInjector injects a fault between the cores and their environment.
type FaultInjector interface {
	// Event returns the event that a core handles in place of e.
	Event(id model.InstanceID, e event.Event) event.Event
	// Action returns the actions that are executed in place of a.
	Action(id model.InstanceID, a event.Action) []event.Action
	// Start returns the request that a worker receives in place of r.
	Start(id model.WorkerID, r platform.StartRequest) platform.StartRequest
}

// SetFaultInjector injects a fault, to test that Check detects it.
func (c *Cell) SetFaultInjector(f FaultInjector) { c.injector = f }

// LeaseOf returns the lease in force at a worker; ok is false when there is none.
func (c *Cell) LeaseOf(id model.WorkerID) (ref platform.LeaseRef, ok bool) {
	return c.workers[id].core.Lease(c.wallTime())
}

func (c *Cell) injectEvent(in *instance, e event.Event) event.Event {
	if c.injector == nil {
		return e
	}
	return c.injector.Event(in.info.ID, e)
}

func (c *Cell) injectAction(in *instance, a event.Action) []event.Action {
	if c.injector == nil {
		return []event.Action{a}
	}
	return c.injector.Action(in.info.ID, a)
}

func (w *worker) injectStart(r platform.StartRequest) platform.StartRequest {
	if w.cell.injector == nil {
		return r
	}
	return w.cell.injector.Start(w.core.Worker().ID, r)
}
