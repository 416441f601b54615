package declare

import (
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/model"
)

// Selector is a model.Selector written as text: terms joined by commas, each
// one of "label", "!label", "label=value", "label!=value", "label in (a,b)" and
// "label notin (a,b)".
type Selector struct {
	model.Selector `toml:"-"`
}

// Expected describes the text form of a selector for error messages.
func (Selector) Expected() string {
	return `a selector, such as "gpu", "!gpu", "tier=web", "zone in (a,b)" or "rack notin (r1)"`
}

var (
	labelPattern = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9._/-]{0,62}$`)
	valuePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	setPattern   = regexp.MustCompile(`^(\S+)\s+(in|notin)\s*\(([^()]*)\)$`)
)

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error that
// quotes the first invalid term.
func (s *Selector) UnmarshalText(text []byte) error {
	selector, err := ParseSelector(string(text))
	s.Selector = selector
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (s Selector) MarshalText() ([]byte, error) { return []byte(FormatSelector(s.Selector)), nil }

// ParseSelector parses a selector. Empty text gives the empty selector, which
// matches everything. It returns an error that quotes the first invalid term.
func ParseSelector(text string) (model.Selector, error) {
	if strings.TrimSpace(text) == "" {
		return nil, nil
	}
	var selector model.Selector
	for _, term := range splitTerms(text) {
		q, ok := parseTerm(strings.TrimSpace(term))
		if !ok {
			return nil, errors.Newf("expected %s, got %q", Selector{}.Expected(), term)
		}
		selector = append(selector, q)
	}
	return selector, nil
}

// splitTerms splits text at the commas outside parentheses.
func splitTerms(text string) []string {
	var terms []string
	depth, start := 0, 0
	for i, r := range text {
		switch {
		case r == '(':
			depth++
		case r == ')':
			depth--
		case r == ',' && depth == 0:
			terms = append(terms, text[start:i])
			start = i + 1
		}
	}
	return append(terms, text[start:])
}

// parseTerm parses one term and reports whether it is valid. It accepts "==" for "=".
func parseTerm(term string) (model.Requirement, bool) {
	if m := setPattern.FindStringSubmatch(term); m != nil {
		return newSetRequirement(m[1], m[2], strings.Split(m[3], ","))
	}
	if label, value, ok := strings.Cut(term, "!="); ok {
		return newSetRequirement(strings.TrimSpace(label), "notin", []string{value})
	}
	if label, value, ok := strings.Cut(term, "="); ok {
		return newSetRequirement(strings.TrimSpace(label), "in", []string{strings.TrimPrefix(value, "=")})
	}
	if label, ok := strings.CutPrefix(term, "!"); ok {
		label = strings.TrimSpace(label)
		return model.Requirement{Label: label, Op: model.OpNotExists}, labelPattern.MatchString(label)
	}
	return model.Requirement{Label: term, Op: model.OpExists}, labelPattern.MatchString(term)
}

// newSetRequirement returns the requirement for op "in" or "notin" and reports
// whether it is valid.
func newSetRequirement(label, op string, values []string) (model.Requirement, bool) {
	q := model.Requirement{Label: label, Op: model.OpIn}
	if op == "notin" {
		q.Op = model.OpNotIn
	}
	for _, v := range values {
		q.Values = append(q.Values, strings.TrimSpace(v))
	}
	return q, validRequirement(q)
}

// validRequirement reports whether q has a text form that parseTerm accepts.
func validRequirement(q model.Requirement) bool {
	for _, v := range q.Values {
		if !valuePattern.MatchString(v) {
			return false
		}
	}
	isSetOp := q.Op == model.OpIn || q.Op == model.OpNotIn
	isExistenceOp := q.Op == model.OpExists || q.Op == model.OpNotExists
	return labelPattern.MatchString(q.Label) && (isSetOp && len(q.Values) > 0 || isExistenceOp && len(q.Values) == 0)
}

// FormatSelector returns the text form of a selector that ParseSelector reads.
func FormatSelector(s model.Selector) string {
	terms := make([]string, len(s))
	for i, q := range s {
		terms[i] = formatTerm(q)
	}
	return strings.Join(terms, ", ")
}

func formatTerm(q model.Requirement) string {
	switch {
	case q.Op == model.OpExists:
		return q.Label
	case q.Op == model.OpNotExists:
		return "!" + q.Label
	case q.Op == model.OpIn && len(q.Values) == 1:
		return q.Label + "=" + q.Values[0]
	case q.Op == model.OpIn:
		return q.Label + " in (" + strings.Join(q.Values, ",") + ")"
	}
	return q.Label + " notin (" + strings.Join(q.Values, ",") + ")"
}
