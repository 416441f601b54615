package engine

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// Features are the parts of the scheduler that a deployment turns on in its settings.
// Without any of them jobs are scheduled by their callers' estimates alone.
type Features struct {
	LearnedRuntimes     bool // expected run times and the speeds of workers are learned from finished runs
	Backfill            bool // waiting gangs reserve resources from the time at which they can start
	ContentionAdmission bool // admission counts the work of the job's own team and its limit
	Headroom            bool // work of lower priorities leaves room for the urgent tasks that arrive next
	SpeedPlacement      bool // urgent tasks get fast workers and tasks with time to spare slow ones
	Preemption          bool // runs of lower priorities are stopped for urgent tasks that would start too late
}

// featureNames are the names of the features in the settings.
var featureNames = map[string]func(*Features) *bool{
	"learned-runtimes":     func(f *Features) *bool { return &f.LearnedRuntimes },
	"backfill":             func(f *Features) *bool { return &f.Backfill },
	"contention-admission": func(f *Features) *bool { return &f.ContentionAdmission },
	"headroom":             func(f *Features) *bool { return &f.Headroom },
	"speed-placement":      func(f *Features) *bool { return &f.SpeedPlacement },
	"preemption":           func(f *Features) *bool { return &f.Preemption },
}

// ParseFeatures parses a list of names of features that are separated by commas. An empty
// list turns on none.
func ParseFeatures(list string) (Features, error) {
	var f Features
	if strings.TrimSpace(list) == "" {
		return f, nil
	}
	for name := range strings.SplitSeq(list, ",") {
		field := featureNames[strings.TrimSpace(name)]
		if field == nil {
			return Features{}, errors.Newf("unknown feature %q", strings.TrimSpace(name))
		}
		*field(&f) = true
	}
	return f, nil
}
