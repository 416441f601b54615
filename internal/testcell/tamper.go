package testcell

import (
	"pollenbend/internal/event"
	"pollenbend/internal/model"
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
}

func (c *Cell) tamperEvent(in *instance, e event.Event) event.Event {
	if c.options.Tamper == nil {
		return e
	}
	return c.options.Tamper.Event(in.info.ID, e)
}

func (c *Cell) tamperAction(in *instance, a event.Action) []event.Action {
	if c.options.Tamper == nil {
		return []event.Action{a}
	}
	return c.options.Tamper.Action(in.info.ID, a)
}
