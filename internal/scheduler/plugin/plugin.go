// Package plugin defines the extension points of placement: small filters and
// scorers that look at one task and one worker at a time.
package plugin

import (
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/fleet"
)

// Code is the kind of a Status.
type Code uint8

// Codes of a Status.
const (
	// OK means that the stage has nothing against the worker.
	OK Code = iota
	// Avoid means that the worker is taken only when no other is left.
	Avoid
	// Unfit means that the worker can't take the task now.
	Unfit
	// Impossible means that no worker could ever take the task.
	Impossible
)

// Status is what a stage says, with its name and the reason.
type Status struct {
	Code   Code
	Plugin string
	Reason string
}

// Success reports whether the status holds nothing against a worker.
func (s Status) Success() bool { return s.Code == OK }

// String returns the plugin and its reason.
func (s Status) String() string {
	if s.Success() {
		return "ok"
	}
	return s.Plugin + ": " + s.Reason
}

// State is what the stages of one decision share.
type State struct {
	Now    time.Duration
	Fleet  *fleet.Fleet
	Search *fleet.Search
}

// Filter says whether a worker may take a task.
type Filter interface {
	Name() string
	Filter(s *State, t *model.Task, n *fleet.Node) Status
}

// MaxScore is the highest score that a Scorer gives.
const MaxScore = 10000

// Scorer rates a worker that may take a task, from 0 to MaxScore.
type Scorer interface {
	Name() string
	Score(s *State, t *model.Task, n *fleet.Node) int64
}

// WeightedScorer is a scorer and the factor of its score in the sum.
type WeightedScorer struct {
	Scorer
	Weight int64
}
