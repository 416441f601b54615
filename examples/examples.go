// Package examples embeds the example deployments guild and styrkeled in the binary.
package examples

import (
	"embed"
	"io/fs"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/example"
)

//go:embed guild/*.toml styrkeled/*.toml
var files embed.FS

// Names returns the names of the examples.
func Names() []string { return []string{"guild", "styrkeled"} }

// Load reads the example with that name. It returns an error if it does not exist or
// its files are invalid.
func Load(name string) (example.Example, error) {
	dir, err := fs.Sub(files, name)
	if err != nil {
		return example.Example{}, errors.Wrapf(err, "open example %q", name)
	}
	return example.Parse(name, dir)
}
