// Package check finds the faults of the files that operators write, whatever
// kind of file each is.
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

// Fault is one fault of a file.
type Fault = tomlfile.Fault

// Kind is a kind of file.
type Kind string

// Kinds of files.
const (
	KindSettings     Kind = "settings"
	KindDeclarations Kind = "declarations"
	KindPlatform     Kind = "platform"
	KindRequests     Kind = "requests"
)

// sections matches the name of a table of the settings.
const sections = `(instance|listen|platform|tls|limits|timing|log|record)`

// marks holds what tells each kind of file from declarations.
var marks = []struct {
	kind    Kind
	pattern *regexp.Regexp
}{
	{KindSettings, regexp.MustCompile(`(?m)^[ \t]*(\[\[?` + sections + `[].]|` + sections + `(\.|[ \t]*=[ \t]*\{))`)},
	{KindPlatform, regexp.MustCompile(`(?m)^[ \t]*\[\[workers\]\]`)},
	{KindRequests, regexp.MustCompile(`(?m)^[ \t]*\[\[request\]\]`)},
}

// KindOf tells the kind of a file by its tables.
func KindOf(data []byte) Kind {
	for _, m := range marks {
		if m.pattern.Match(data) {
			return m.kind
		}
	}
	return KindDeclarations
}

// Files returns every fault of the files at paths, each taken by itself. A
// directory stands for its TOML files, whose declarations are taken together.
func Files(paths []string) []Fault {
	var faults []Fault
	for _, path := range paths {
		if info, err := os.Stat(path); err == nil && info.IsDir() {
			faults = append(faults, directory(path)...)
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

func directory(dir string) []Fault {
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
