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

// Parse reads a file that holds all declarations. name identifies the file in
// faults. It returns every fault; the declarations may be used only if there is
// none.
func Parse(name string, data []byte) (model.Declarations, []Fault) {
	return parse([]source{{name: name, data: data}})
}

// Load reads declarations that are split over the files at paths and validates
// them together. It returns every fault, as Parse does.
func Load(paths ...string) (model.Declarations, []Fault) {
	var sources []source
	var faults []Fault
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			faults = append(faults, Fault{File: path, Message: "expected a readable file: " + err.Error()})
			continue
		}
		sources = append(sources, source{name: path, data: data})
	}
	d, more := parse(sources)
	return d, append(faults, more...)
}

// source is the content of one declarations file.
type source struct {
	name string
	data []byte
}

// decodedFile locates the objects of one file among all declarations.
type decodedFile struct {
	check *tomlfile.Checker
	first map[model.ObjectKind]int // index of the file's first object
	count map[model.ObjectKind]int // number of the file's objects
}

func parse(sources []source) (model.Declarations, []Fault) {
	var all model.Declarations
	var files []decodedFile
	teamNamesKnown := true
	for _, src := range sources {
		r := tomlfile.Decode(src.name, src.data, func() file { return file{} })
		d := r.Value.declarations()
		files = append(files, decodedFile{check: r.Check(src.name), first: counts(all), count: counts(d)})
		all = merge(all, d)
		teamNamesKnown = teamNamesKnown && !r.HasSyntaxError && !slices.ContainsFunc(r.Faults, hidesTeamName)
	}
	for _, p := range append(Validate(all), CheckTimeZones(all)...) {
		if !p.Reference || teamNamesKnown {
			addToFile(files, p)
		}
	}
	var faults []Fault
	for _, f := range files {
		faults = append(faults, f.check.Faults()...)
	}
	return all, faults
}

// hidesTeamName reports whether a fault leaves the name of a team unknown.
func hidesTeamName(f Fault) bool {
	return f.Key == "team" || f.Key == "team.name"
}

// addToFile adds a problem to the faults of the file that declares the object.
func addToFile(files []decodedFile, p Problem) {
	for _, f := range files {
		i := p.Index - f.first[p.Ref.Kind]
		if i < 0 || i >= f.count[p.Ref.Kind] {
			continue
		}
		f.addProblem(fmt.Sprintf("%s[%d].%s", p.Ref.Kind, i, p.Field), p)
		return
	}
}

func (f decodedFile) addProblem(path string, p Problem) {
	message := p.Message
	if p.Ref.Name != "" && p.Field != "name" {
		message = fmt.Sprintf("%s (in %s %q)", message, p.Ref.Kind, p.Ref.Name)
	}
	if !f.check.Has(path) {
		f.check.Require(false, path, message)
		return
	}
	f.check.Add(path, "%s", message)
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

// Marshal encodes declarations as a TOML file that Parse reads. It returns an error
// if encoding fails.
func Marshal(d model.Declarations) ([]byte, error) {
	data, err := toml.Marshal(newFile(d))
	return data, errors.Wrap(err, "write declarations")
}
