package tomlfile

import (
	"bytes"
	"reflect"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// maxFaults is the number of faults after which decoding of a file stops.
const maxFaults = 100

// Result is a decoded file. Value holds what could be decoded. HasSyntaxError is
// set if parts of the file were skipped because they are not valid TOML, so that a
// key that was not found may still be in the file.
type Result[T any] struct {
	Value          T
	Lines          Lines
	Faults         []Fault
	HasSyntaxError bool
}

// Decode decodes data over the defaults that newValue returns. Parts with a fault
// are skipped and the remaining ones decoded, until every fault is found or
// maxFaults is reached. name identifies the file in faults.
func Decode[T any](name string, data []byte, newValue func() T) Result[T] {
	d := decoder{
		name:   name,
		data:   bytes.Clone(data),
		schema: newSchema(reflect.TypeFor[T]()),
	}
	hasSyntaxError := d.skipSyntaxErrors()
	lines := d.lines()
	d.checkEntries()
	value := newValue()
	for len(d.faults) < maxFaults {
		value = newValue()
		err := toml.Unmarshal(d.data, &value)
		if err == nil || !d.skip(err) {
			break
		}
	}
	Sort(d.faults)
	return Result[T]{Value: value, Lines: lines, Faults: d.faults, HasSyntaxError: hasSyntaxError}
}

// decoder decodes one file. An expression is a key with its value, or a table header.
type decoder struct {
	name    string
	data    []byte // with faulty parts blanked
	schema  schema
	entries []entry
	faults  []Fault
}

func (d *decoder) add(line int, key, message string) {
	d.faults = append(d.faults, Fault{File: d.name, Line: line, Key: key, Message: message})
}

// skipSyntaxErrors blanks each line that is not valid TOML and reports whether
// there was one. The table of an invalid header is blanked with it.
func (d *decoder) skipSyntaxErrors() bool {
	for found := false; ; found = true {
		entries, syntaxErr := scan(d.data)
		d.entries = entries
		if syntaxErr == nil {
			return found
		}
		from, until := d.brokenRange(syntaxErr.offset)
		key := keyOfLine(syntaxErr.table, d.data[from:])
		d.add(lineAt(d.data, syntaxErr.offset), key, "expected TOML: "+syntaxErr.message)
		if from == until || len(d.faults) >= maxFaults { // blank everything, so that the loop ends
			from, until = 0, len(d.data)
		}
		blank(d.data, from, until)
	}
}

// brokenRange returns the range of lines to skip for a syntax error at offset: the
// last non-blank line at or before it, with its table if the line is a header.
func (d *decoder) brokenRange(offset int) (from, until int) {
	end := endOfLine(d.data, min(offset, len(d.data)))
	end = len(bytes.TrimRight(d.data[:end], " \t\r\n"))
	from = lineStart(d.data, end)
	until = endOfLine(d.data, end)
	if !isHeader(d.data[from:until]) {
		return from, until
	}
	for until < len(d.data) {
		next := endOfLine(d.data, until+1)
		if isHeader(d.data[until:next]) {
			break
		}
		until = next
	}
	return from, until
}

func isHeader(line []byte) bool { return bytes.HasPrefix(bytes.TrimSpace(line), []byte("[")) }

func endOfLine(data []byte, from int) int {
	if from >= len(data) {
		return len(data)
	}
	if i := bytes.IndexByte(data[from:], '\n'); i >= 0 {
		return from + i
	}
	return len(data)
}

// keyOfLine returns the key that the first line of data sets in a table, or the
// name of the table if the line is a header.
func keyOfLine(table string, data []byte) string {
	line, _, _ := strings.Cut(string(data), "\n")
	if isHeader([]byte(line)) {
		return strings.Trim(line, "[] \t\r")
	}
	key, _, _ := strings.Cut(line, "=")
	return withoutIndexes(join(table, strings.TrimSpace(key)))
}

// checkEntries reports every unknown key and every value of the wrong type, until
// there are maxFaults faults, and blanks their expressions.
func (d *decoder) checkEntries() {
	reported := "" // path of the last entry with a fault; entries below it are skipped
	for i, e := range d.entries {
		if isBelow(e.path, reported) {
			continue
		}
		fault := d.fault(e)
		if fault == "" || len(d.faults) >= maxFaults {
			continue
		}
		d.add(e.line, withoutIndexes(e.path), fault)
		reported = e.path
		d.blankExpression(i)
	}
	d.entries, _ = scan(d.data)
}

// isBelow reports whether path is below parent. No path is below an empty parent.
func isBelow(path, parent string) bool {
	suffix, hasPrefix := strings.CutPrefix(path, parent)
	return parent != "" && hasPrefix && suffix != "" && (suffix[0] == '.' || suffix[0] == '[')
}

// fault describes what is wrong with the key or the value of e, or returns "".
func (d *decoder) fault(e entry) string {
	key := withoutIndexes(e.path)
	f, ok := d.schema.find(key)
	if !ok {
		return "unknown key, expected one of " + strings.Join(d.schema.siblings(key), ", ")
	}
	if err := f.check(e); err != nil {
		return err.Error()
	}
	return ""
}

// skip reports a decoding error and blanks the expression that caused it. It
// returns false if it cannot attribute the error to an expression.
func (d *decoder) skip(err error) bool {
	var de *toml.DecodeError
	if !errors.As(err, &de) || len(d.entries) == 0 {
		d.add(0, "", err.Error())
		return false
	}
	i := d.locate(de)
	e := d.entries[i]
	message := "expected TOML: " + strings.TrimPrefix(err.Error(), "toml: ")
	d.add(e.line, withoutIndexes(e.path), message)
	d.blankExpression(i)
	d.entries, _ = scan(d.data)
	return true
}

// locate returns the index of the last entry at or before the error's line. Among
// entries on the same line it prefers the one with the error's key.
func (d *decoder) locate(err *toml.DecodeError) int {
	line, _ := err.Position()
	after := sort.Search(len(d.entries), func(i int) bool { return d.entries[i].line > line })
	last := max(after-1, 0)
	want := strings.Join(err.Key(), ".")
	for i := last; i >= 0 && d.entries[i].line == d.entries[last].line; i-- {
		if withoutIndexes(d.entries[i].path) == want {
			return i
		}
	}
	return last
}

// expressionEnd returns the offset at which the expression of entry i ends, which
// is the start of the next expression.
func (d *decoder) expressionEnd(i int) int {
	for _, e := range d.entries[i+1:] {
		if e.depth == 0 {
			return lineStart(d.data, e.offset)
		}
	}
	return len(d.data)
}

// blankExpression blanks the expression of entry i, or the whole table if it is a
// header.
func (d *decoder) blankExpression(i int) {
	for i > 0 && d.entries[i].depth > 0 {
		i--
	}
	until := d.expressionEnd(i)
	if d.entries[i].table {
		until = len(d.data)
		for _, e := range d.entries[i+1:] {
			if e.table {
				until = lineStart(d.data, e.offset)
				break
			}
		}
	}
	blank(d.data, lineStart(d.data, d.entries[i].offset), until)
}

// lines returns the line of the first entry of each path.
func (d *decoder) lines() Lines {
	lines := Lines{}
	for _, e := range d.entries {
		if !lines.Has(e.path) {
			lines[e.path] = e.line
		}
	}
	return lines
}
