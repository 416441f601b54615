package model

import "time"

// Team is a declared team. Share is its weight when the fleet is full; Limit is its
// maximum number of running tasks in the whole fleet, 0 for no limit.
type Team struct {
	Name  TeamID `json:"name" cbor:"1,keyasint" toml:"name"`
	Share int64  `json:"share" cbor:"2,keyasint" toml:"share"`
	Limit int64  `json:"limit,omitempty" cbor:"3,keyasint,omitempty" toml:"limit,omitempty"`
}

// KeyScope is what a key gives access to.
type KeyScope string

// Key scopes.
const (
	ScopeTeam     KeyScope = "team"
	ScopeOperator KeyScope = "operator"
)

// Key is a declared key. It contains only the SHA-256 hash of the secret, in hex.
type Key struct {
	Name   string   `json:"name" cbor:"1,keyasint" toml:"name"`
	Team   TeamID   `json:"team,omitempty" cbor:"2,keyasint,omitempty" toml:"team,omitempty"`
	Scope  KeyScope `json:"scope" cbor:"3,keyasint" toml:"scope"`
	SHA256 string   `json:"sha256" cbor:"4,keyasint" toml:"sha256"`
}

// Queue is a declared queue, to which work is submitted. An Open queue accepts work
// without a key and charges it to Team; any other queue accepts work only with a key
// of that team.
type Queue struct {
	Name string `json:"name" cbor:"1,keyasint" toml:"name"`
	Team TeamID `json:"team" cbor:"2,keyasint" toml:"team"`
	Open bool   `json:"open,omitempty" cbor:"3,keyasint,omitempty" toml:"open,omitempty"`
}

// Service is a declared kind of request: its resource demand, where it may run and
// whether it may be repeated.
type Service struct {
	Name       string        `json:"name" cbor:"1,keyasint" toml:"name"`
	Demand     Resources     `json:"demand" cbor:"2,keyasint" toml:"demand"`
	Require    Selector      `json:"require,omitempty" cbor:"3,keyasint,omitempty" toml:"require,omitempty"`
	Prefer     []Preference  `json:"prefer,omitempty" cbor:"4,keyasint,omitempty" toml:"prefer,omitempty"`
	Repeatable bool          `json:"repeatable,omitempty" cbor:"5,keyasint,omitempty" toml:"repeatable,omitempty"`
	Class      Class         `json:"class,omitempty" cbor:"6,keyasint,omitempty" toml:"class,omitempty"`
	Timeout    time.Duration `json:"timeout,omitempty" cbor:"7,keyasint,omitempty" toml:"timeout,omitempty"`
}

// Policy is a rule for certain hours of the day in an IANA time zone. During these
// hours its share and limit replace those of the team; 0 keeps the team's value. The
// hours span midnight if Until is before From. Selectors never depend on the time of
// day.
type Policy struct {
	Name     string        `json:"name" cbor:"1,keyasint" toml:"name"`
	Team     TeamID        `json:"team" cbor:"2,keyasint" toml:"team"`
	TimeZone string        `json:"time_zone" cbor:"3,keyasint" toml:"time_zone"`
	From     time.Duration `json:"from" cbor:"4,keyasint" toml:"from"` // time since local midnight
	Until    time.Duration `json:"until" cbor:"5,keyasint" toml:"until"`
	Share    int64         `json:"share,omitempty" cbor:"6,keyasint,omitempty" toml:"share,omitempty"`
	Limit    int64         `json:"limit,omitempty" cbor:"7,keyasint,omitempty" toml:"limit,omitempty"`
}

// Declarations is the complete set of declared objects, or a part of it.
type Declarations struct {
	Teams    []Team    `json:"teams,omitempty" cbor:"1,keyasint,omitempty" toml:"team,omitempty"`
	Keys     []Key     `json:"keys,omitempty" cbor:"2,keyasint,omitempty" toml:"key,omitempty"`
	Queues   []Queue   `json:"queues,omitempty" cbor:"3,keyasint,omitempty" toml:"queue,omitempty"`
	Services []Service `json:"services,omitempty" cbor:"4,keyasint,omitempty" toml:"service,omitempty"`
	Policies []Policy  `json:"policies,omitempty" cbor:"5,keyasint,omitempty" toml:"policy,omitempty"`
}

// ObjectKind names a kind of declared object.
type ObjectKind string

// Kinds of declared objects.
const (
	ObjectTeam    ObjectKind = "team"
	ObjectKey     ObjectKind = "key"
	ObjectQueue   ObjectKind = "queue"
	ObjectService ObjectKind = "service"
	ObjectPolicy  ObjectKind = "policy"
)

// ObjectRef identifies a declared object.
type ObjectRef struct {
	Kind ObjectKind `json:"kind" cbor:"1,keyasint"`
	Name string     `json:"name" cbor:"2,keyasint"`
}

// Change is a compare-and-set of declarations. It takes effect only if no object it
// touches was changed after version Base. A caller that lost the answer sends the
// same ID again to learn the result.
type Change struct {
	ID     string       `json:"id" cbor:"1,keyasint"`
	Base   uint64       `json:"base" cbor:"2,keyasint"`
	Put    Declarations `json:"put" cbor:"3,keyasint"`
	Delete []ObjectRef  `json:"delete,omitempty" cbor:"4,keyasint,omitempty"`
	Author string       `json:"author,omitempty" cbor:"5,keyasint,omitempty"`
}
