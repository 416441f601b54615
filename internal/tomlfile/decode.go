package tomlfile

import (
	"bytes"
	"reflect"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// maxFaults bounds the faults reported for one file.
const maxFaults = 100

// Result is a decoded file. Value holds what could be decoded. Broken is set if
// some of the file was left out because it is no TOML, so that a missing key
// says nothing.
type Result[T any] struct {
	Value  T
	Lines  Lines
	Faults []Fault
	Broken bool
}

// Decode decodes data into a value that starts as fresh returns it. A part with
// a fault is left out and the rest is decoded, until every fault is found.
func Decode[T any](name string, data []byte, fresh func() T) Result[T] {
	d := decoder{
		name:   name,
		data:   bytes.Clone(data),
		schema: schemaOf(reflect.TypeFor[T]()),
	}
	broken := d.skipSyntaxErrors()
	lines := d.lines()
	d.checkEntries()
	value := fresh()
	for len(d.faults) < maxFaults {
		value = fresh()
		err := toml.Unmarshal(d.data, &value)
		if err == nil || !d.skip(err) {
			break
		}
	}
	Sort(d.faults)
	return Result[T]{Value: value, Lines: lines, Faults: d.faults, Broken: broken}
}

type decoder struct {
	name    string
	data    []byte // faulty parts are blanked
	schema  schema
	entries []entry
	faults  []Fault
}

func (d *decoder) add(line int, key, message string) {
	d.faults = append(d.faults, Fault{File: d.name, Line: line, Key: key, Message: message})
}

// skipSyntaxErrors blanks each line that is no TOML and reports whether there
// was one. A broken header takes its table with it.
func (d *decoder) skipSyntaxErrors() bool {
	for broken := false; ; broken = true {
		entries, bad := scan(d.data)
		d.entries = entries
		if bad == nil {
			return broken
		}
		from, until := d.brokenRange(bad.offset)
		key := keyOfLine(bad.table, d.data[from:])
		d.add(lineAt(d.data, bad.offset), key, "expected TOML: "+bad.message)
		if from == until || len(d.faults) >= maxFaults {
			from, until = 0, len(d.data)
		}
		blank(d.data, from, until)
	}
}

// brokenRange returns the lines to leave out for a syntax error at offset: the
// last line at or before it that is not blank, with its table if it is a header.
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
// table that it opens.
func keyOfLine(table string, data []byte) string {
	line, _, _ := strings.Cut(string(data), "\n")
	if isHeader([]byte(line)) {
		return strings.Trim(line, "[] \t\r")
	}
	key, _, _ := strings.Cut(line, "=")
	return withoutIndexes(join(table, strings.TrimSpace(key)))
}

// checkEntries reports every unknown key and every value of a wrong type, and
// blanks their expressions.
func (d *decoder) checkEntries() {
	inside := "" // path of an unknown table or of a value with a fault, reported once
	for i, e := range d.entries {
		if isInside(e.path, inside) {
			continue
		}
		fault := d.fault(e)
		if fault == "" || len(d.faults) >= maxFaults {
			continue
		}
		d.add(e.line, withoutIndexes(e.path), fault)
		inside = e.path
		d.blankExpression(i)
	}
	d.entries, _ = scan(d.data)
}

// isInside reports whether path lies below parent.
func isInside(path, parent string) bool {
	rest, below := strings.CutPrefix(path, parent)
	return parent != "" && below && rest != "" && (rest[0] == '.' || rest[0] == '[')
}

// fault says what is wrong with the key or the value of e, or nothing.
func (d *decoder) fault(e entry) string {
	key := withoutIndexes(e.path)
	f, ok := d.schema.find(key)
	if !ok {
		return "unknown key, expected one of " + strings.Join(d.schema.siblings(key), ", ")
	}
	if err := f.accepts(e); err != nil {
		return err.Error()
	}
	return ""
}

// skip reports a decoding error and blanks the expression that caused it. It
// returns false if that expression cannot be found.
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

// locate returns the index of the last entry at or before the error's line,
// where possible one whose key is the error's.
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

// endOf returns where the expression of entry i ends: at the next expression.
func (d *decoder) endOf(i int) int {
	for _, e := range d.entries[i+1:] {
		if e.depth == 0 {
			return lineStart(d.data, e.offset)
		}
	}
	return len(d.data)
}

// blankExpression blanks the expression of entry i; a header takes its table
// with it.
func (d *decoder) blankExpression(i int) {
	for i > 0 && d.entries[i].depth > 0 {
		i--
	}
	until := d.endOf(i)
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

func (d *decoder) lines() Lines {
	lines := Lines{}
	for _, e := range d.entries {
		if !lines.Has(e.path) {
			lines[e.path] = e.line
		}
	}
	return lines
}
