// Package scheduler decides where tasks run. It is pure: time and randomness are
// passed in, and it does no I/O. One goroutine owns a Scheduler and all that
// belongs to it.
//
// A decision runs a chain of filters and scorers (package plugin and below) over
// a bounded sample of workers that package fleet finds by label class and free
// capacity. Place decides, Fleet.Assume commits after a recheck of the worker's
// ledger, Fleet.Release ends the commitment.
//
// Package queue says which task is next. When a task can't be placed, package
// preempt may make room for it and hold that on one worker; the task is then
// parked and tried again when the worker has the room or the hold expires.
// Package gang places tasks that start together. Packages quarantine, estimates,
// hours and services watch outcomes, sizes, wall time and replicas.
package scheduler
