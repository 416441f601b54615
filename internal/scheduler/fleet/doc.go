// Package fleet is the ledger of workers and what is committed on them, with an
// index by label class and free capacity so that a decision looks at a bounded
// number of workers.
//
// A Fleet belongs to one goroutine and does no I/O. Snapshots are a journal:
// Begin marks a point, Rollback undoes what was assumed since then, so planning
// costs as much as the plan and never copies the fleet.
package fleet
