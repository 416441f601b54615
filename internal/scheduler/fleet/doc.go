// Package fleet keeps the workers and the tasks committed to them, and indexes the
// workers by class and free capacity so that a decision examines a bounded number
// of them.
//
// A Fleet belongs to one goroutine and does no I/O. A plan can be undone with an
// undo journal: Begin starts it and Rollback releases what was assumed since, so
// the cost is that of the plan and the fleet is never copied.
package fleet
