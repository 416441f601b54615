package httpapi

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/httpapi/wire"
	"pollenbend/internal/model"
)

// verdictCodes returns the value of every constant of type verdict.Code.
func verdictCodes(t *testing.T) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "../verdict/verdict.go", nil, 0)
	require.NoError(t, err)
	var found []string
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		if kind, ok := spec.Type.(*ast.Ident); ok && kind.Name == "Code" {
			found = append(found, strings.Trim(spec.Values[0].(*ast.BasicLit).Value, `"`))
		}
		return true
	})
	require.Greater(t, len(found), 10)
	return found
}

// jsonFieldNames returns the JSON names of a document's fields.
func jsonFieldNames(document any) []string {
	var names []string
	for _, f := range reflect.VisibleFields(reflect.TypeOf(document)) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		names = append(names, name)
	}
	return names
}

func TestAPIPageCoversRoutesCodesAndFields(t *testing.T) {
	data, err := os.ReadFile("../../docs/API.md")
	require.NoError(t, err)
	page := string(data)
	for _, r := range Routes() {
		require.Contains(t, page, "### "+r.Pattern()+"\n")
	}
	for _, code := range verdictCodes(t) {
		if code != "" {
			require.Contains(t, page, "`"+code+"`")
		}
	}
	for _, document := range []any{wire.Call{}, wire.Job{}, wire.Tickets{}, wire.Answer{}, model.Change{}} {
		for _, name := range jsonFieldNames(document) {
			require.Contains(t, page, "`"+name+"`")
		}
	}
	for _, header := range []string{wire.HeaderIdempotencyKey, wire.HeaderTicket, wire.HeaderInstance} {
		require.Contains(t, page, "`"+header)
	}
}

func TestEveryCodeHasAStatus(t *testing.T) {
	withoutStatus := map[string]bool{"": true, "in_doubt": true, "task_failed": true}
	for _, code := range verdictCodes(t) {
		status := 0
		for refusalCode, s := range notRunStatus {
			if string(refusalCode) == code {
				status = s
			}
		}
		require.Equal(t, withoutStatus[code], status == 0, code)
	}
}
