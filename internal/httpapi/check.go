package httpapi

import (
	"fmt"

	"pollenbend/internal/model"
	"pollenbend/internal/verdict"
)

// badField returns the refusal of a field or header with an invalid value.
func badField(field, format string, args ...any) error {
	return verdict.Refuse(verdict.CodeBadRequest, "%s: %s", field, fmt.Sprintf(format, args...))
}

// checkID accepts printable ASCII without spaces, except "." and "..", which have a
// special meaning as URL path segments.
func checkID(field, id string) error {
	if id == "" || id == "." || id == ".." || len(id) > maxIDBytes {
		return badField(field, "want 1 to %d characters", maxIDBytes)
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return badField(field, "want printable ASCII without spaces")
		}
	}
	return nil
}

func checkJob(t model.Task, count int) error {
	switch t.Kind {
	case model.KindBatch, model.KindGang, model.KindService:
	default:
		return badField("kind", "want batch, gang or service")
	}
	if count < 1 {
		return badField("count", "want 1 or more")
	}
	switch t.SpreadBy {
	case "", "rack", "zone":
	default:
		return badField("spread_by", "want rack or zone")
	}
	return checkTask(t)
}

func checkTask(t model.Task) error {
	switch t.Class {
	case "", model.ClassUrgent, model.ClassNormal, model.ClassLow:
	default:
		return badField("class", "want urgent, normal or low")
	}
	d := t.Demand
	if d.MilliCPU < 0 || d.MemoryMiB < 0 || d.Slots < 0 || d.Accelerators < 0 {
		return badField("demand", "want no negative amounts")
	}
	if err := checkSelector("require", t.Require); err != nil {
		return err
	}
	for _, p := range t.Prefer {
		if err := checkSelector("prefer", p.Selector); err != nil {
			return err
		}
	}
	return nil
}

func checkSelector(field string, s model.Selector) error {
	for _, q := range s {
		if q.Label == "" {
			return badField(field, "a requirement has no label")
		}
		switch q.Op {
		case model.OpIn, model.OpNotIn:
			if len(q.Values) == 0 {
				return badField(field, "%s of %q needs values", q.Op, q.Label)
			}
		case model.OpExists, model.OpNotExists:
			if len(q.Values) > 0 {
				return badField(field, "%s of %q takes no values", q.Op, q.Label)
			}
		default:
			return badField(field, "unknown operator %q", q.Op)
		}
	}
	return nil
}
