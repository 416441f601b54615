package settings

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/tomlfile"
)

// row is the documentation of one key: its form and its default value.
type row struct {
	key, form, value string
}

var (
	rowPattern     = regexp.MustCompile("(?m)^\\| `([a-z_.]+)` \\| ([^|]+) \\| ([^|]+) \\| [^|]+\\. \\|$")
	examplePattern = regexp.MustCompile("(?s)```toml\n(.*?)```")
)

func TestDocsSettings(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	require.NoError(t, err)
	var got []row
	for _, m := range rowPattern.FindAllStringSubmatch(string(page), -1) {
		got = append(got, row{m[1], m[2], strings.Trim(m[3], "`")})
	}
	require.Equal(t, rowsFromCode(t), got)

	example := examplePattern.FindSubmatch(page)
	require.NotNil(t, example)
	_, faults := Parse("example", example[1])
	require.Empty(t, faults)
}

// rowsFromCode returns the rows that the code defines: forms from the types,
// defaults from Default, and required keys from the faults of an empty file.
func rowsFromCode(t *testing.T) []row {
	data, err := toml.Marshal(Default())
	require.NoError(t, err)
	var defaults map[string]map[string]any
	require.NoError(t, toml.Unmarshal(data, &defaults))
	required := map[string]bool{}
	_, faults := Parse("empty", nil)
	for _, f := range faults {
		require.Contains(t, f.Message, "missing")
		required[f.Key] = true
	}
	var rows []row
	for _, f := range tomlfile.Fields(reflect.TypeFor[Settings]()) {
		if f.Table {
			continue
		}
		form, _, _ := strings.Cut(strings.TrimPrefix(f.Expected, "a "), " with")
		table, name, _ := strings.Cut(f.Key, ".")
		value := fmt.Sprint(defaults[table][name])
		switch {
		case required[f.Key]:
			value = "required"
		case value == "":
			value = "none"
		}
		rows = append(rows, row{f.Key, form, value})
	}
	return rows
}
