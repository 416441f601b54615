// Package queue holds the waiting tasks by team and priority class, in the order
// received. Pop returns the next task to place: from the highest class that has
// work, and in it from the team with the lowest dominant share relative to its
// weight.
//
// A team that has reached its concurrency limit is skipped until Ended or
// LimitChanged is called for it. A lane whose next task can't be placed is skipped
// until Wake reports enough capacity.
package queue
