// Package queue holds the work that waits: for each team and class the tasks in
// the order received. Pop gives the next task to place: urgent work first, then
// the team that is furthest below its share.
//
// A team whose upper limit is reached, or whose next task can't be placed, is
// passed over until Wake, SetUsage or LimitChanged says that something changed.
package queue
