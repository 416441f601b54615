// Package check reports the faults of the files that operators write. It detects
// the kind of each file from its content.
package check

import (
	"os"
	"path/filepath"
	"regexp"

	"pollenbend/internal/declare"
	"pollenbend/internal/example"
	"pollenbend/internal/settings"
	"pollenbend/internal/tomlfile"
)

// Fault is one error in a file.
type Fault = tomlfile.Fault

// Kind is a kind of file.
type Kind string

// Kinds of files.
const (
	KindSettings     Kind = "settings"
	KindDeclarations Kind = "declarations"
	KindPlatform     Kind = "platform" // platform of an example
	KindRequests     Kind = "requests" // requests of an example
)

// settingsTables is a pattern that matches the names of the tables in a settings
// file.
const settingsTables = `(instance|listen|platform|tls|limits|timing|log|record)`

// kindPatterns holds the patterns that identify the kinds of files. The first match
// decides; a file that matches none holds declarations.
var kindPatterns = []struct {
	kind    Kind
	pattern *regexp.Regexp
}{
	{KindSettings, regexp.MustCompile(`(?m)^[ \t]*(\[\[?` + settingsTables + `[].]|` + settingsTables + `(\.|[ \t]*=[ \t]*\{))`)},
	{KindPlatform, regexp.MustCompile(`(?m)^[ \t]*\[\[workers\]\]`)},
	{KindRequests, regexp.MustCompile(`(?m)^[ \t]*\[\[request\]\]`)},
}

// KindOf returns the kind of a file, detected from its tables.
func KindOf(data []byte) Kind {
	for _, p := range kindPatterns {
		if p.pattern.Match(data) {
			return p.kind
		}
	}
	return KindDeclarations
}

// Files returns every fault of the files at paths, each of which is checked on its
// own. For a directory it checks the TOML files in it, and its declarations files
// together.
func Files(paths []string) []Fault {
	var faults []Fault
	for _, path := range paths {
		if info, err := os.Stat(path); err == nil && info.IsDir() {
			faults = append(faults, checkDirectory(path)...)
			continue
		}
		data, err := os.ReadFile(path)
		if err != nil {
			faults = append(faults, Fault{File: path, Message: "expected a readable file: " + err.Error()})
			continue
		}
		faults = append(faults, Data(path, data)...)
	}
	return faults
}

// Data returns every fault of one file.
func Data(name string, data []byte) []Fault {
	var faults []Fault
	switch KindOf(data) {
	case KindSettings:
		_, faults = settings.Parse(name, data)
	case KindPlatform:
		_, faults = example.ParsePlatform(name, data)
	case KindRequests:
		_, faults = example.ParseRequests(name, data)
	default:
		_, faults = declare.Parse(name, data)
	}
	return faults
}

// checkDirectory returns every fault of the TOML files in dir.
func checkDirectory(dir string) []Fault {
	paths, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	if err != nil || len(paths) == 0 {
		return []Fault{{File: dir, Message: "expected a directory with TOML files"}}
	}
	var faults []Fault
	var declarations []string
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err == nil && KindOf(data) == KindDeclarations {
			declarations = append(declarations, path)
			continue
		}
		faults = append(faults, Files([]string{path})...)
	}
	_, more := declare.Load(declarations...)
	return append(faults, more...)
}
