package declare

import (
	"encoding/hex"
	"fmt"
	"strings"
	"time"
	_ "time/tzdata" // gives machines without zone files the same time zones

	"pollenbend/internal/model"
)

// Problem is an error in the declarations, independent of files. Index is the
// object's index among those of its kind, and Field the key in a file.
type Problem struct {
	Ref     model.ObjectRef
	Index   int
	Field   string
	Message string
	// Reference is set if the object refers to a name that is not declared.
	Reference bool
}

// String returns the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s %q: %s: %s", p.Ref.Kind, p.Ref.Name, p.Field, p.Message)
}

// Bounds of declared values. They keep sums over a fleet far from overflow.
const (
	maxShare               = 1_000_000
	maxTaskLimit           = 10_000_000
	maxMilliCPU            = 1_000_000_000
	maxMemoryMiB           = 1 << 30
	maxSlotsOrAccelerators = 1_000_000 // per task, of either
	maxWeight              = 1_000_000
	maxTimeout             = 24 * time.Hour
	dayLength              = 24 * time.Hour
	nameForm               = `a name of up to 63 of a-z, 0-9, ".", "_" and "-" that starts with a letter or digit`
	sha256HexSize          = 64
)

// maxNameBytes is the maximum length of a name.
const maxNameBytes = 63

// validName reports whether name has the form that nameForm describes.
func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes || strings.ContainsAny(name[:1], "._-") {
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

// Validate returns every problem of d, which must be the complete declarations.
// The result depends only on d. Whether a time zone exists is checked by
// CheckTimeZones instead, since time zone data differs between machines.
func Validate(d model.Declarations) []Problem {
	v := validator{names: map[model.ObjectRef]bool{}, hashes: map[string]string{}}
	v.collectNames(d)
	v.checkTeams(d.Teams)
	v.checkKeys(d.Keys)
	v.checkQueues(d.Queues)
	v.checkServices(d.Services)
	v.checkPolicies(d.Policies)
	return v.problems
}

// CheckTimeZones returns a problem for each policy whose time zone is unknown on
// this machine.
func CheckTimeZones(d model.Declarations) []Problem {
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
	hashes   map[string]string // name of the key by hash
	problems []Problem
	ref      model.ObjectRef // object being checked
	index    int
}

// collectNames records all declared names and reports invalid and duplicate ones.
func (v *validator) collectNames(d model.Declarations) {
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

// add reports a problem of the current object.
func (v *validator) add(field, format string, args ...any) {
	p := Problem{Ref: v.ref, Index: v.index, Field: field, Message: fmt.Sprintf(format, args...)}
	v.problems = append(v.problems, p)
}

// setObject sets the object that add reports problems of.
func (v *validator) setObject(kind model.ObjectKind, name string, index int) {
	v.ref, v.index = model.ObjectRef{Kind: kind, Name: name}, index
}

// checkRange reports a problem unless n is between low and high, inclusive.
func (v *validator) checkRange(field string, n, low, high int64) {
	if n < low || n > high {
		v.add(field, "expected a number from %d to %d, got %d", low, high, n)
	}
}

// checkTeam reports a problem unless name is a declared team.
func (v *validator) checkTeam(name model.TeamID) {
	if v.names[model.ObjectRef{Kind: model.ObjectTeam, Name: string(name)}] {
		return
	}
	v.add("team", "expected a declared team, got %q", name)
	v.problems[len(v.problems)-1].Reference = true
}

func (v *validator) checkTeams(teams []model.Team) {
	for i, t := range teams {
		v.setObject(model.ObjectTeam, string(t.Name), i)
		v.checkRange("share", t.Share, 1, maxShare)
		v.checkRange("limit", t.Limit, 0, maxTaskLimit)
	}
}

func (v *validator) checkKeys(keys []model.Key) {
	for i, k := range keys {
		v.setObject(model.ObjectKey, k.Name, i)
		v.checkScope(k)
		v.checkHash(k)
	}
}

func (v *validator) checkScope(k model.Key) {
	switch k.Scope {
	case model.ScopeTeam:
		v.checkTeam(k.Team)
	case model.ScopeOperator:
		if k.Team != "" {
			v.add("team", "expected no team on a key of scope operator, got %q", k.Team)
		}
	default:
		v.add("scope", "expected team or operator, got %q", k.Scope)
	}
}

func (v *validator) checkHash(k model.Key) {
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

func (v *validator) checkQueues(queues []model.Queue) {
	for i, q := range queues {
		v.setObject(model.ObjectQueue, q.Name, i)
		v.checkTeam(q.Team)
	}
}

func (v *validator) checkServices(services []model.Service) {
	for i, s := range services {
		v.setObject(model.ObjectService, s.Name, i)
		v.checkRange("demand.cpu", s.Demand.MilliCPU, 0, maxMilliCPU)
		v.checkRange("demand.memory", s.Demand.MemoryMiB, 0, maxMemoryMiB)
		v.checkRange("demand.slots", s.Demand.Slots, 1, maxSlotsOrAccelerators)
		v.checkRange("demand.accelerators", s.Demand.Accelerators, 0, maxSlotsOrAccelerators)
		v.checkSelector("require", s.Require)
		v.checkPreferences(s.Prefer)
		v.checkClass(s.Class)
		if s.Timeout < 0 || s.Timeout > maxTimeout {
			v.add("timeout", "expected a duration of at most 24h, got %s", s.Timeout)
		}
	}
}

func (v *validator) checkSelector(field string, s model.Selector) {
	for _, q := range s {
		if !validRequirement(q) {
			v.add(field, "expected %s, got the term %q", Selector{}.Expected(), formatTerm(q))
		}
	}
}

func (v *validator) checkPreferences(list []model.Preference) {
	for i, p := range list {
		field := fmt.Sprintf("prefer[%d]", i)
		v.checkSelector(field+".selector", p.Selector)
		v.checkRange(field+".weight", int64(p.Weight), -maxWeight, maxWeight)
		if len(p.Selector) == 0 || p.Weight == 0 {
			v.add(field, "expected a selector and a weight other than 0")
		}
	}
}

func (v *validator) checkClass(c model.Class) {
	switch c {
	case model.ClassUrgent, model.ClassNormal, model.ClassLow:
	default:
		v.add("class", "expected urgent, normal or low, got %q", c)
	}
}

func (v *validator) checkPolicies(policies []model.Policy) {
	for i, p := range policies {
		v.setObject(model.ObjectPolicy, p.Name, i)
		v.checkTeam(p.Team)
		v.checkRange("share", p.Share, 0, maxShare)
		v.checkRange("limit", p.Limit, 0, maxTaskLimit)
		if p.Share == 0 && p.Limit == 0 {
			v.add("share", "expected a share or a limit for these hours")
		}
		v.checkHours(p)
		if p.TimeZone == "" || p.TimeZone == "Local" {
			v.add("time_zone", `expected an IANA time zone, such as "Europe/Dublin", got %q`, p.TimeZone)
		}
	}
}

func (v *validator) checkHours(p model.Policy) {
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
