// Package scheduler decides on which worker a task runs. It is deterministic:
// time and the random seed are passed in, and it does no I/O. A Scheduler and
// everything it holds belong to one goroutine.
//
// A decision runs filter and score plugins (package plugin and the packages below
// it) over a bounded sample of workers that package fleet finds by worker class
// and free capacity. Place decides, Fleet.Assume rechecks the worker's free
// capacity and commits the task, and Fleet.Release ends the commitment.
//
// Package queue chooses the next task. When a task can't be placed, package
// preempt may select victims on one worker and reserve the capacity there with a
// hold. The task is then parked and tried again once the worker has the capacity
// or the hold expires. Package shares computes weighted max-min fair shares,
// package quarantine keeps work away from broken workers, and package estimates
// learns the demand and run time of tasks.
package scheduler
