// Package fleet keeps the workers and the tasks committed to them, and indexes the
// workers by class and free capacity so that a decision examines a bounded number
// of them.
//
// A Fleet belongs to one goroutine and does no I/O. Commitments can be made in a
// transaction with an undo journal: Begin starts it and Rollback releases what was
// committed since, so that the cost depends on these commitments only and the fleet is
// never copied.
//
// Times are durations on the caller's clock, since an origin of its choice.
package fleet
