// Package example reads an example deployment: declarations, the platform that the
// stand-ins simulate, and requests to send.
package example

import (
	"fmt"
	"io/fs"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/declare"
	"pollenbend/internal/model"
)

// Names of the files of an example.
const (
	DeclarationsFile = "declarations.toml"
	PlatformFile     = "platform.toml"
	RequestsFile     = "requests.toml"
)

// Example is a deployment that can run on one machine.
type Example struct {
	Name         string
	Declarations model.Declarations
	Platform     Platform
	Requests     []Request
}

// Secret returns the secret of a key of the example. Example secrets are public and
// derived from the key's name.
func (e Example) Secret(key string) string {
	return fmt.Sprintf("pb_example_%s_%s", e.Name, key)
}

// OperatorSecret returns the secret of the example's operator key.
func (e Example) OperatorSecret() string { return e.Secret("operator") }

// Parse reads the example in dir. It uses name as the name of the example and, for
// files that can be read, in the paths of faults. The returned error joins all faults
// of the files.
func Parse(name string, dir fs.FS) (Example, error) {
	e := Example{Name: name}
	var faults []declare.Fault
	read := func(file string, parse func(name string, data []byte) []declare.Fault) {
		data, err := fs.ReadFile(dir, file)
		if err != nil {
			faults = append(faults, declare.Fault{File: file, Message: err.Error()})
			return
		}
		faults = append(faults, parse(name+"/"+file, data)...)
	}
	read(DeclarationsFile, func(name string, data []byte) (f []declare.Fault) {
		e.Declarations, f = declare.Parse(name, data)
		return f
	})
	read(PlatformFile, func(name string, data []byte) (f []declare.Fault) {
		e.Platform, f = ParsePlatform(name, data)
		return f
	})
	read(RequestsFile, func(name string, data []byte) (f []declare.Fault) {
		e.Requests, f = ParseRequests(name, data)
		return f
	})
	return e, joinFaults(faults)
}

func joinFaults(faults []declare.Fault) error {
	var err error
	for _, f := range faults {
		err = errors.Join(err, f)
	}
	return err
}
