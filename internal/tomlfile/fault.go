// Package tomlfile decodes TOML files strictly: an unknown key is a fault, and
// all faults of a file are reported together, each with its line and key.
package tomlfile

import (
	"cmp"
	"fmt"
	"slices"
)

// Fault is one error in a file. Line is 0 if the error has no position in the file.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Key     string `json:"key"`
	Message string `json:"message"` // states what was expected
}

// Error implements error in the form "file:line: key: message".
func (f Fault) Error() string {
	location := f.File
	if f.Line > 0 {
		location = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	if f.Key == "" {
		return fmt.Sprintf("%s: %s", location, f.Message)
	}
	return fmt.Sprintf("%s: %s: %s", location, f.Key, f.Message)
}

// Sort orders faults by file, line and key.
func Sort(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
}

// Checker collects the faults of a decoded file: those found in decoding and those
// found by checks of its values.
type Checker struct {
	file           string
	lines          Lines
	hasSyntaxError bool
	faults         []Fault
	faulty         map[position]bool
}

type position struct {
	line int
	key  string
}

// Check returns a checker that already holds the faults found in decoding.
func (r Result[T]) Check(file string) *Checker {
	c := &Checker{file: file, lines: r.Lines, hasSyntaxError: r.HasSyntaxError, faults: r.Faults, faulty: map[position]bool{}}
	for _, f := range r.Faults {
		c.faulty[position{f.Line, f.Key}] = true
	}
	return c
}

// FaultFree reports whether there is no fault at any of paths, so that their values
// can be compared.
func (c *Checker) FaultFree(paths ...string) bool {
	for _, p := range paths {
		if c.faulty[c.positionOf(p)] {
			return false
		}
	}
	return true
}

// Has reports whether the file contains path.
func (c *Checker) Has(path string) bool { return c.lines.Has(path) }

// Add adds a fault at path, such as "team[1].share", unless there is one already.
// The fault's key is the path without indexes.
func (c *Checker) Add(path, format string, args ...any) {
	if !c.FaultFree(path) {
		return
	}
	pos := c.positionOf(path)
	c.faulty[pos] = true
	message := fmt.Sprintf(format, args...)
	c.faults = append(c.faults, Fault{File: c.file, Line: pos.line, Key: pos.key, Message: message})
}

// Require adds a fault for a missing value at path, unless the value may be in a
// part of the file that is not valid TOML. Message states what was expected.
func (c *Checker) Require(present bool, path, message string) {
	if !present && !c.hasSyntaxError {
		c.Add(path, "missing, %s", message)
	}
}

// Faults returns all faults, sorted as by Sort.
func (c *Checker) Faults() []Fault {
	Sort(c.faults)
	return c.faults
}

func (c *Checker) positionOf(path string) position {
	return position{line: c.lines.Of(path), key: withoutIndexes(path)}
}
