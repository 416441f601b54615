// Package examples holds the worked examples of both deployments, embedded in
// the binary.
package examples

import (
	"embed"
	"io/fs"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/example"
)

//go:embed guild/*.toml styrkeled/*.toml
var files embed.FS

// Names lists the examples.
func Names() []string { return []string{"guild", "styrkeled"} }

// Load reads the example of that name. It returns an error if there is none or
// its files have faults.
func Load(name string) (example.Example, error) {
	dir, err := fs.Sub(files, name)
	if err != nil {
		return example.Example{}, errors.Wrapf(err, "open example %q", name)
	}
	return example.Parse(name, dir)
}
