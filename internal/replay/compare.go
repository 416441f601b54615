package replay

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Expectation holds the expected outcomes from a file. Fields that the file omits
// are not compared.
type Expectation struct {
	Version *uint64             `toml:"version"`
	Actions map[string]int      `toml:"actions"`
	Answers map[string][]string `toml:"answers"`
}

// ParseExpectation parses an expectation in TOML. It returns an error for an
// unknown key or a value of the wrong type.
func ParseExpectation(data []byte) (Expectation, error) {
	var e Expectation
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := decoder.Decode(&e); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return e, errors.Newf("unknown key:\n%s", strict.String())
		}
		return e, errors.Wrap(err, "read expected outcomes")
	}
	return e, nil
}

// Marshal returns the outcomes in the TOML format that ParseExpectation reads.
func (o Outcomes) Marshal() ([]byte, error) {
	data, err := toml.Marshal(o)
	return data, errors.Wrap(err, "write outcomes")
}

// Compare returns one line for each outcome that differs from the expectation, in
// a fixed order.
func (e Expectation) Compare(got Outcomes) []string {
	var differences []string
	if e.Version != nil && *e.Version != got.Version {
		differences = append(differences, fmt.Sprintf("version: expected %d, got %d", *e.Version, got.Version))
	}
	for _, k := range slices.Sorted(maps.Keys(e.Actions)) {
		if got.Actions[k] != e.Actions[k] {
			differences = append(differences, fmt.Sprintf("actions.%s: expected %d, got %d", k, e.Actions[k], got.Actions[k]))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(e.Answers)) {
		if !slices.Equal(got.Answers[id], e.Answers[id]) {
			differences = append(differences, fmt.Sprintf("answers.%s: expected %s, got %s", id, joinVerdicts(e.Answers[id]), joinVerdicts(got.Answers[id])))
		}
	}
	return differences
}

func joinVerdicts(verdicts []string) string {
	if len(verdicts) == 0 {
		return "none"
	}
	return strings.Join(verdicts, ", ")
}
