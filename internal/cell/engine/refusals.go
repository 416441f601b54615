package engine

import (
	"maps"
	"slices"

	"pollenbend/internal/cell/admission"
)

// refusalLabels are the values of the label "reason" of the metric of refused jobs. The reasons
// in answers are sentences, which may change.
var refusalLabels = map[string]string{
	admission.ReasonNoWorker:                   "no_worker",
	admission.ReasonEntitlement:                "entitlement",
	admission.ReasonTooLate:                    "too_late",
	admission.ReasonTeamLimit:                  "team_limit",
	"no such queue":                            "no_queue",
	canceledReason:                             "canceled",
	noMemoryReason:                             "memory",
	"the gang is larger than its team's limit": "never_fits",
	"a task is larger than its team's limit":   "never_fits",
	"a task is larger than any worker":         "never_fits",
	"tasks of the queue crash workers, and it would end too late": "crashes",
	"the store is not in reach":                                   "store",
	"the store does not answer":                                   "store",
	"the store is too slow for the caller's timeout":              "store",
}

// otherRefusal is the label of reasons without one of their own.
const otherRefusal = "other"

// RefusalLabels returns the labels with which Config.CountRefused is called.
func RefusalLabels() []string {
	labels := append(slices.Collect(maps.Values(refusalLabels)), otherRefusal)
	slices.Sort(labels)
	return slices.Compact(labels)
}

// countRefused counts a refused job by the label of its reason.
func (e *Engine) countRefused(why string) {
	if e.cfg.CountRefused == nil {
		return
	}
	label, known := refusalLabels[why]
	if !known {
		label = otherRefusal
	}
	e.cfg.CountRefused(label)
}
