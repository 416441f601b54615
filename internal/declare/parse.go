package declare

import (
	"fmt"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"pollenbend/internal/model"
	"pollenbend/internal/tomlfile"
)

// Parse reads a file that holds all declarations, and calls it name in faults.
// It returns every fault; the declarations are to be used only if there is none.
func Parse(name string, data []byte) (model.Declarations, []Fault) {
	return parse([]part{{name: name, data: data}})
}

// Load reads declarations that are spread over the files at paths. Together
// they are taken as the whole.
func Load(paths ...string) (model.Declarations, []Fault) {
	var parts []part
	var faults []Fault
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			faults = append(faults, Fault{File: path, Message: "expected a readable file: " + err.Error()})
			continue
		}
		parts = append(parts, part{name: path, data: data})
	}
	d, more := parse(parts)
	return d, append(faults, more...)
}

// part is one file of the declarations.
type part struct {
	name string
	data []byte
}

// origin is the part of the declarations that one file holds: per kind, the
// objects from first on.
type origin struct {
	check *tomlfile.Checker
	first map[model.ObjectKind]int
	count map[model.ObjectKind]int
}

func parse(parts []part) (model.Declarations, []Fault) {
	var all model.Declarations
	var origins []origin
	namesKnown := true
	for _, p := range parts {
		r := tomlfile.Decode(p.name, p.data, func() file { return file{} })
		d := r.Value.declarations()
		origins = append(origins, origin{check: r.Check(p.name), first: counts(all), count: counts(d)})
		all = merge(all, d)
		namesKnown = namesKnown && !r.Broken && !slices.ContainsFunc(r.Faults, hidesTeam)
	}
	for _, p := range append(Validate(all), CheckZones(all)...) {
		if !p.Reference || namesKnown {
			report(origins, p)
		}
	}
	var faults []Fault
	for _, o := range origins {
		faults = append(faults, o.check.Faults()...)
	}
	return all, faults
}

// hidesTeam reports whether a fault leaves the name of a team unknown.
func hidesTeam(f Fault) bool {
	return f.Key == "team" || f.Key == "team.name"
}

// report adds a problem to the faults of the file that holds the object.
func report(origins []origin, p Problem) {
	for _, o := range origins {
		i := p.Index - o.first[p.Ref.Kind]
		if i < 0 || i >= o.count[p.Ref.Kind] {
			continue
		}
		o.add(fmt.Sprintf("%s[%d].%s", p.Ref.Kind, i, p.Field), p)
		return
	}
}

func (o origin) add(path string, p Problem) {
	message := p.Message
	if p.Ref.Name != "" && p.Field != "name" {
		message = fmt.Sprintf("%s (in %s %q)", message, p.Ref.Kind, p.Ref.Name)
	}
	if !o.check.Has(path) {
		o.check.Require(false, path, message)
		return
	}
	o.check.Add(path, "%s", message)
}

func merge(a, b model.Declarations) model.Declarations {
	return model.Declarations{
		Teams:    append(a.Teams, b.Teams...),
		Keys:     append(a.Keys, b.Keys...),
		Queues:   append(a.Queues, b.Queues...),
		Services: append(a.Services, b.Services...),
		Policies: append(a.Policies, b.Policies...),
	}
}

func counts(d model.Declarations) map[model.ObjectKind]int {
	return map[model.ObjectKind]int{
		model.ObjectTeam:    len(d.Teams),
		model.ObjectKey:     len(d.Keys),
		model.ObjectQueue:   len(d.Queues),
		model.ObjectService: len(d.Services),
		model.ObjectPolicy:  len(d.Policies),
	}
}

// Marshal writes declarations as a file that Parse reads.
func Marshal(d model.Declarations) ([]byte, error) {
	data, err := toml.Marshal(fileOf(d))
	return data, errors.Wrap(err, "write declarations")
}
