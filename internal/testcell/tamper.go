package testcell

import (
	"pollenbend/internal/event"
	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/standin"
)

// LogFaults are the faults of the log.
type LogFaults = standin.LogFaults

// Tamper plants a known fault between the cores and the world.
type Tamper interface {
	// Event may replace what enters a core.
	Event(at model.InstanceID, e event.Event) event.Event
	// Action may replace or repeat what leaves a core.
	Action(at model.InstanceID, a event.Action) []event.Action
	// Start may alter a start when it arrives at a worker.
	Start(at model.WorkerID, r platform.StartRequest) platform.StartRequest
}

// SetTamper plants a fault, to test that Check finds it.
func (c *Cell) SetTamper(t Tamper) { c.tamper = t }

// LeaseOf returns the lease in force at a worker; ok is false when there is none.
func (c *Cell) LeaseOf(id model.WorkerID) (ref platform.LeaseRef, ok bool) {
	return c.workers[id].core.Lease(c.wall())
}

func (c *Cell) tamperEvent(in *instance, e event.Event) event.Event {
	if c.tamper == nil {
		return e
	}
	return c.tamper.Event(in.info.ID, e)
}

func (c *Cell) tamperAction(in *instance, a event.Action) []event.Action {
	if c.tamper == nil {
		return []event.Action{a}
	}
	return c.tamper.Action(in.info.ID, a)
}

func (w *worker) tamperStart(r platform.StartRequest) platform.StartRequest {
	if w.cell.tamper == nil {
		return r
	}
	return w.cell.tamper.Start(w.core.Worker().ID, r)
}
