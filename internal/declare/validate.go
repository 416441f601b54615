package declare

import (
	"encoding/hex"
	"fmt"
	"strings"
	"time"
	_ "time/tzdata" // the zones are the same on a machine without zone files

	"pollenbend/internal/model"
)

// Problem is a fault of the declarations themselves. Index is the object's
// place among those of its kind, and Field its key in a file.
type Problem struct {
	Ref     model.ObjectRef
	Index   int
	Field   string
	Message string
	// Reference is set if the problem is a name that is not declared.
	Reference bool
}

// String returns the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s %q: %s: %s", p.Ref.Kind, p.Ref.Name, p.Field, p.Message)
}

// Bounds of declared numbers. They keep sums over a fleet far from overflow.
const (
	maxShare      = 1_000_000
	maxTasks      = 10_000_000
	maxMilliCPU   = 1_000_000_000
	maxMemoryMiB  = 1 << 30
	maxUnits      = 1_000_000 // slots or accelerators of one task
	maxWeight     = 1_000_000
	maxTimeout    = 24 * time.Hour
	dayLength     = 24 * time.Hour
	nameForm      = `a name of up to 63 of a-z, 0-9, ".", "_" and "-" that starts with a letter or digit`
	sha256HexSize = 64
)

// maxName is the greatest length of a name in bytes.
const maxName = 63

// validName reports whether name has the form that nameForm describes.
func validName(name string) bool {
	if name == "" || len(name) > maxName || strings.ContainsAny(name[:1], "._-") {
		return false
	}
	for _, c := range []byte(name) {
		isLetter := c >= 'a' && c <= 'z'
		isDigit := c >= '0' && c <= '9'
		if !isLetter && !isDigit && !strings.ContainsRune("._-", rune(c)) {
			return false
		}
	}
	return true
}

// Validate returns every problem of d, taken as the whole of the declarations.
// The result depends on d alone: whether a time zone exists is left to
// CheckZones, since zone data differ between machines.
func Validate(d model.Declarations) []Problem {
	v := validator{names: map[model.ObjectRef]bool{}, hashes: map[string]string{}}
	v.declare(d)
	v.teams(d.Teams)
	v.keys(d.Keys)
	v.queues(d.Queues)
	v.services(d.Services)
	v.policies(d.Policies)
	return v.problems
}

// CheckZones returns a problem for each policy whose time zone this machine
// does not know.
func CheckZones(d model.Declarations) []Problem {
	var problems []Problem
	for i, p := range d.Policies {
		if _, err := time.LoadLocation(p.TimeZone); err != nil {
			ref := model.ObjectRef{Kind: model.ObjectPolicy, Name: p.Name}
			message := fmt.Sprintf(`expected an IANA time zone, such as "Europe/Dublin", got %q`, p.TimeZone)
			problems = append(problems, Problem{Ref: ref, Index: i, Field: "time_zone", Message: message})
		}
	}
	return problems
}

type validator struct {
	names    map[model.ObjectRef]bool
	hashes   map[string]string // hash to the key that has it
	problems []Problem
	ref      model.ObjectRef // object at hand
	index    int
}

// declare notes all declared names and reports the bad and the double ones.
func (v *validator) declare(d model.Declarations) {
	for _, ref := range Refs(d) {
		v.ref, v.index = ref.ObjectRef, ref.Index
		if !validName(ref.Name) {
			v.add("name", "expected %s, got %q", nameForm, ref.Name)
			continue
		}
		if v.names[ref.ObjectRef] {
			v.add("name", "expected one %s of each name, got %q again", ref.Kind, ref.Name)
		}
		v.names[ref.ObjectRef] = true
	}
}

func (v *validator) add(field, format string, args ...any) {
	p := Problem{Ref: v.ref, Index: v.index, Field: field, Message: fmt.Sprintf(format, args...)}
	v.problems = append(v.problems, p)
}

func (v *validator) at(kind model.ObjectKind, name string, index int) {
	v.ref, v.index = model.ObjectRef{Kind: kind, Name: name}, index
}

// within wants n to lie between low and high.
func (v *validator) within(field string, n, low, high int64) {
	if n < low || n > high {
		v.add(field, "expected a number from %d to %d, got %d", low, high, n)
	}
}

// team wants name to be a declared team.
func (v *validator) team(name model.TeamID) {
	if v.names[model.ObjectRef{Kind: model.ObjectTeam, Name: string(name)}] {
		return
	}
	v.add("team", "expected a declared team, got %q", name)
	v.problems[len(v.problems)-1].Reference = true
}

func (v *validator) teams(teams []model.Team) {
	for i, t := range teams {
		v.at(model.ObjectTeam, string(t.Name), i)
		v.within("share", t.Share, 1, maxShare)
		v.within("limit", t.Limit, 0, maxTasks)
	}
}

func (v *validator) keys(keys []model.Key) {
	for i, k := range keys {
		v.at(model.ObjectKey, k.Name, i)
		v.scope(k)
		v.hash(k)
	}
}

func (v *validator) scope(k model.Key) {
	switch k.Scope {
	case model.ScopeTeam:
		v.team(k.Team)
	case model.ScopeOperator:
		if k.Team != "" {
			v.add("team", "expected no team on a key of scope operator, got %q", k.Team)
		}
	default:
		v.add("scope", "expected team or operator, got %q", k.Scope)
	}
}

func (v *validator) hash(k model.Key) {
	raw, err := hex.DecodeString(k.SHA256)
	if err != nil || len(k.SHA256) != sha256HexSize || hex.EncodeToString(raw) != k.SHA256 {
		v.add("sha256", "expected the SHA-256 hash of the secret as %d lower-case hex digits", sha256HexSize)
		return
	}
	if other, taken := v.hashes[k.SHA256]; taken {
		v.add("sha256", "expected a secret of its own, got that of key %q", other)
	}
	v.hashes[k.SHA256] = k.Name
}

func (v *validator) queues(queues []model.Queue) {
	for i, q := range queues {
		v.at(model.ObjectQueue, q.Name, i)
		v.team(q.Team)
	}
}

func (v *validator) services(services []model.Service) {
	for i, s := range services {
		v.at(model.ObjectService, s.Name, i)
		v.within("demand.cpu", s.Demand.MilliCPU, 0, maxMilliCPU)
		v.within("demand.memory", s.Demand.MemoryMiB, 0, maxMemoryMiB)
		v.within("demand.slots", s.Demand.Slots, 1, maxUnits)
		v.within("demand.accelerators", s.Demand.Accelerators, 0, maxUnits)
		v.selector("require", s.Require)
		v.preferences(s.Prefer)
		v.class(s.Class)
		if s.Timeout < 0 || s.Timeout > maxTimeout {
			v.add("timeout", "expected a duration of at most 24h, got %s", s.Timeout)
		}
	}
}

func (v *validator) selector(field string, s model.Selector) {
	for _, q := range s {
		if !validRequirement(q) {
			v.add(field, "expected %s, got the term %q", Selector{}.Expected(), formatTerm(q))
		}
	}
}

func (v *validator) preferences(list []model.Preference) {
	for i, p := range list {
		field := fmt.Sprintf("prefer[%d]", i)
		v.selector(field+".selector", p.Selector)
		v.within(field+".weight", int64(p.Weight), -maxWeight, maxWeight)
		if len(p.Selector) == 0 || p.Weight == 0 {
			v.add(field, "expected a selector and a weight other than 0")
		}
	}
}

func (v *validator) class(c model.Class) {
	switch c {
	case model.ClassUrgent, model.ClassNormal, model.ClassLow:
	default:
		v.add("class", "expected urgent, normal or low, got %q", c)
	}
}

func (v *validator) policies(policies []model.Policy) {
	for i, p := range policies {
		v.at(model.ObjectPolicy, p.Name, i)
		v.team(p.Team)
		v.within("share", p.Share, 0, maxShare)
		v.within("limit", p.Limit, 0, maxTasks)
		if p.Share == 0 && p.Limit == 0 {
			v.add("share", "expected a share or a limit for these hours")
		}
		v.hours(p)
		if p.TimeZone == "" || p.TimeZone == "Local" {
			v.add("time_zone", `expected an IANA time zone, such as "Europe/Dublin", got %q`, p.TimeZone)
		}
	}
}

func (v *validator) hours(p model.Policy) {
	if p.From < 0 || p.From >= dayLength {
		v.add("from", `expected a time of day from "00:00" to "23:59"`)
	}
	if p.Until < 0 || p.Until > dayLength {
		v.add("until", `expected a time of day from "00:00" to "24:00"`)
	}
	if p.From == p.Until {
		v.add("until", "expected a time other than from")
	}
}
