// Package tomlfile decodes TOML files strictly: an unknown key is a fault, and
// all faults of a file are reported together, each with its line and key.
package tomlfile

import (
	"cmp"
	"fmt"
	"slices"
)

// Fault is one fault of a file. Line is 0 if the fault has no place in it.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Key     string `json:"key"`
	Message string `json:"message"` // what was expected
}

// Error implements error in the form "file:line: key: message".
func (f Fault) Error() string {
	place := f.File
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	if f.Key == "" {
		return fmt.Sprintf("%s: %s", place, f.Message)
	}
	return fmt.Sprintf("%s: %s: %s", place, f.Key, f.Message)
}

// Sort orders faults by file, line and key.
func Sort(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
}

// Checker collects the faults that a decoded file's values have among
// themselves.
type Checker struct {
	file   string
	lines  Lines
	broken bool
	faults []Fault
	bad    map[place]bool
}

type place struct {
	line int
	key  string
}

// Check returns a checker that starts with the faults found in decoding.
func (r Result[T]) Check(file string) *Checker {
	c := &Checker{file: file, lines: r.Lines, broken: r.Broken, faults: r.Faults, bad: map[place]bool{}}
	for _, f := range r.Faults {
		c.bad[place{f.Line, f.Key}] = true
	}
	return c
}

// Sound reports whether no fault is known at any of paths, so that their values
// may be compared.
func (c *Checker) Sound(paths ...string) bool {
	for _, p := range paths {
		if c.bad[c.place(p)] {
			return false
		}
	}
	return true
}

// Has reports whether path stands in the file.
func (c *Checker) Has(path string) bool { return c.lines.Has(path) }

// Add reports a fault at path, such as "team[1].share", unless one is known
// there. The fault's key is the path without indexes.
func (c *Checker) Add(path, format string, args ...any) {
	if !c.Sound(path) {
		return
	}
	at := c.place(path)
	c.bad[at] = true
	message := fmt.Sprintf(format, args...)
	c.faults = append(c.faults, Fault{File: c.file, Line: at.line, Key: at.key, Message: message})
}

// Require reports a missing value at path, unless the file has parts that could
// not be read. Message says what was expected.
func (c *Checker) Require(present bool, path, message string) {
	if !present && !c.broken {
		c.Add(path, "missing, %s", message)
	}
}

// Faults returns all faults in the order of the file.
func (c *Checker) Faults() []Fault {
	Sort(c.faults)
	return c.faults
}

func (c *Checker) place(path string) place {
	return place{line: c.lines.Of(path), key: withoutIndexes(path)}
}
