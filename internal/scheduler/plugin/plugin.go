// Package plugin defines the extension points of placement: filter and score plugins
// that evaluate one task on one worker at a time.
package plugin

import (
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/fleet"
)

// Code is the result code of a plugin. Higher codes are worse.
type Code uint8

// Codes of a Status.
const (
	// OK means that the worker may take the task.
	OK Code = iota
	// Avoid means that the worker should take the task only if no worker with OK is found.
	Avoid
	// Unfit means that the worker can't take the task now.
	Unfit
	// Impossible means that no worker could take the task even if the worker ran no other
	// tasks.
	Impossible
)

// Status is the result of a plugin. Reason is empty when Code is OK.
type Status struct {
	Code   Code
	Plugin string
	Reason string
}

// Success reports whether the code is OK.
func (s Status) Success() bool { return s.Code == OK }

// String returns "ok", or the plugin's name and the reason.
func (s Status) String() string {
	if s.Success() {
		return "ok"
	}
	return s.Plugin + ": " + s.Reason
}

// State is the input shared by all plugins in one decision.
type State struct {
	Now    time.Duration // time of the decision on the caller's clock, since an origin of its choice
	Fleet  *fleet.Fleet
	Search *fleet.Search
}

// Filter decides whether a worker may take a task.
type Filter interface {
	Name() string
	Filter(s *State, t *model.Task, n *fleet.Node) Status
}

// MaxScore is the maximum score of a Scorer.
const MaxScore = 10000

// Scorer rates a worker that may take a task, from 0 to MaxScore.
type Scorer interface {
	Name() string
	Score(s *State, t *model.Task, n *fleet.Node) int64
}

// WeightedScorer is a scorer and the weight of its score in a worker's total score.
type WeightedScorer struct {
	Scorer
	Weight int64
}
