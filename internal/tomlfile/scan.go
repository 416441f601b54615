package tomlfile

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Lines maps the paths in a file, such as "team[1].share", to line numbers.
type Lines map[string]int

// Of returns the line of path, or of its nearest parent in the file, or 0.
func (l Lines) Of(path string) int {
	for path != "" {
		if line, ok := l[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexByte(path, '.'), 0)]
	}
	return 0
}

// Has reports whether the file contains path.
func (l Lines) Has(path string) bool {
	_, ok := l[path]
	return ok
}

var indexPattern = regexp.MustCompile(`\[\d+\]`)

func withoutIndexes(path string) string { return indexPattern.ReplaceAllString(path, "") }

// entry is one key, table header or array element of a file.
type entry struct {
	path   string
	offset int // of the key, in bytes
	line   int
	table  bool // a header such as [tls] or [[team]]
	depth  int  // number of inline tables and arrays around it
	kind   unstable.Kind
	text   string // of a scalar value
}

// maxDepth is the maximum depth of inline tables and arrays whose keys are scanned.
// No valid file is nested this deeply.
const maxDepth = 8

// scanner collects the entries of a document.
type scanner struct {
	parser     unstable.Parser
	prefix     string         // path of the current table
	counts     map[string]int // number of elements so far, by array of tables
	entries    []entry
	line       int // line of lineOffset
	lineOffset int // highest offset that lineOf was called with
}

// scan returns the entries of data in order. On a syntax error it returns the
// entries before it and the error.
func scan(data []byte) ([]entry, *syntaxError) {
	s := scanner{counts: map[string]int{}, line: 1}
	s.parser.Reset(data)
	for s.parser.NextExpression() {
		s.expression(s.parser.Expression())
	}
	err := s.parser.Error()
	if err == nil {
		return s.entries, nil
	}
	syntaxErr := &syntaxError{offset: len(data), table: s.prefix, message: err.Error()}
	var pe *unstable.ParserError
	if errors.As(err, &pe) {
		syntaxErr.offset = int(s.parser.Range(pe.Highlight).Offset)
	}
	return s.entries, syntaxErr
}

// syntaxError is a position at which a document is not valid TOML.
type syntaxError struct {
	offset  int
	table   string // path of the table around it
	message string
}

func (s *scanner) expression(e *unstable.Node) {
	switch e.Kind {
	case unstable.KeyValue:
		s.keyValue(e, s.prefix, 0)
	case unstable.Table:
		s.prefix = s.header(e, false)
	case unstable.ArrayTable:
		s.prefix = s.header(e, true)
	}
}

// header records a table header and returns its path. Each part of the path that
// is an array of tables gets the index of the array's last element.
func (s *scanner) header(e *unstable.Node, array bool) string {
	path := ""
	it := e.Key()
	first := unstable.Range{}
	for it.Next() {
		if path == "" {
			first = it.Node().Raw
		}
		path = join(path, string(it.Node().Data))
		if array && it.IsLast() {
			s.counts[path]++
		}
		if n := s.counts[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	s.add(entry{path: path, offset: int(first.Offset), table: true, kind: e.Kind})
	return path
}

func (s *scanner) keyValue(e *unstable.Node, prefix string, depth int) {
	path := prefix
	first := unstable.Range{}
	it := e.Key()
	for it.Next() {
		if path == prefix {
			first = it.Node().Raw
		}
		path = join(path, string(it.Node().Data))
	}
	s.value(e.Value(), entry{path: path, offset: int(first.Offset), depth: depth})
}

// value records the value v of e and the values inside it.
func (s *scanner) value(v *unstable.Node, e entry) {
	e.kind = v.Kind
	e.text = string(v.Data)
	s.add(e)
	if e.depth == maxDepth {
		return
	}
	it := v.Children()
	switch v.Kind {
	case unstable.InlineTable:
		for it.Next() {
			s.keyValue(it.Node(), e.path, e.depth+1)
		}
	case unstable.Array:
		for i := 0; it.Next(); i++ {
			element := entry{path: fmt.Sprintf("%s[%d]", e.path, i), offset: e.offset, depth: e.depth + 1}
			if raw := it.Node().Raw; raw.Length > 0 {
				element.offset = int(raw.Offset)
			}
			s.value(it.Node(), element)
		}
	}
}

func (s *scanner) add(e entry) {
	e.line = s.lineOf(e.offset)
	s.entries = append(s.entries, e)
}

// lineOf returns the line of offset. It counts from the highest offset that it was
// called with, since offsets almost always increase.
func (s *scanner) lineOf(offset int) int {
	data := s.parser.Data()
	if offset < s.lineOffset {
		return lineAt(data, offset)
	}
	s.line += bytes.Count(data[s.lineOffset:offset], []byte{'\n'})
	s.lineOffset = offset
	return s.line
}

func join(prefix, name string) string {
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}

func lineAt(data []byte, offset int) int {
	return 1 + bytes.Count(data[:offset], []byte{'\n'})
}

// lineStart returns the offset of the start of the line that contains offset.
func lineStart(data []byte, offset int) int {
	return 1 + bytes.LastIndexByte(data[:offset], '\n')
}

// blank replaces data[from:until] with spaces, except line breaks, so that offsets
// and line numbers stay the same.
func blank(data []byte, from, until int) {
	for i := from; i < until; i++ {
		if data[i] != '\n' {
			data[i] = ' '
		}
	}
}
