// Package settings reads the settings file of an instance: strict TOML, with a
// unit on every duration and size. docs/SETTINGS.md lists every key.
package settings

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"pollenbend/internal/tomlfile"
	"pollenbend/internal/units"
)

// Fault is one error in a settings file.
type Fault = tomlfile.Fault

// Settings is the content of an instance's settings file.
type Settings struct {
	Instance Instance `toml:"instance" comment:"Who this instance is and where it runs."`
	Listen   Listen   `toml:"listen" comment:"Addresses this instance listens on."`
	Platform Platform `toml:"platform" comment:"Where the platform's services are."`
	TLS      TLS      `toml:"tls" comment:"Certificates for the connections between instances."`
	Limits   Limits   `toml:"limits" comment:"Bounds on what one instance holds."`
	Timing   Timing   `toml:"timing" comment:"Heartbeats, leases and freshness."`
	Log      Log      `toml:"log" comment:"Log lines."`
	Record   Record   `toml:"record" comment:"Event trace for replay."`
}

// Instance identifies the instance and its location.
type Instance struct {
	ID     string `toml:"id"`
	Region string `toml:"region"`
	Zone   string `toml:"zone"`
	Rack   string `toml:"rack"`
}

// Listen holds the addresses that the instance listens on, as IP:port.
type Listen struct {
	HTTP string `toml:"http"`
	Peer string `toml:"peer"`
}

// Platform locates the platform's services.
type Platform struct {
	LogURL  string `toml:"log_url"`
	ListURL string `toml:"list_url"`
	Stream  string `toml:"stream"`
}

// TLS holds the certificate authority and the instance's own certificate and
// private key, either all as file paths or all as PEM texts.
type TLS struct {
	CA      string `toml:"ca"`
	Cert    string `toml:"cert"`
	Key     string `toml:"key"`
	CAPEM   string `toml:"ca_pem,multiline"`
	CertPEM string `toml:"cert_pem,multiline"`
	KeyPEM  string `toml:"key_pem,multiline"`
}

// Limits bounds what one instance stores and how long.
type Limits struct {
	// MaxBody is the maximum size of the body of an HTTP request.
	MaxBody         units.Size     `toml:"max_body"`
	MaxQueuePerTeam int            `toml:"max_queue_per_team"`
	RequestTimeout  units.Duration `toml:"request_timeout"`
	// Retention is how long the result of a finished request is kept.
	Retention units.Duration `toml:"retention"`
}

// Timing holds the intervals and timeouts of the protocols.
type Timing struct {
	Heartbeat   units.Duration `toml:"heartbeat"`
	DeadAfter   units.Duration `toml:"dead_after"`
	WorkerLease units.Duration `toml:"worker_lease"`
	TaskLease   units.Duration `toml:"task_lease"`
	// ConfigFreshness is how long an instance accepts work without confirmation
	// from the log or a peer that its configuration is current.
	ConfigFreshness units.Duration `toml:"config_freshness"`
}

// Log holds the lowest level that is logged: debug, info, warn or error.
type Log struct {
	Level string `toml:"level"`
}

// Record holds the path of the event trace file; if empty, no trace is written.
type Record struct {
	File string `toml:"file"`
}

// Default returns the default settings. Keys without a default are empty.
func Default() Settings {
	return Settings{
		Platform: Platform{Stream: "pollenbend"},
		Limits: Limits{
			MaxBody:         units.Size{Bytes: 1 << 20},
			MaxQueuePerTeam: 4096,
			RequestTimeout:  seconds(30),
			Retention:       units.Duration{Duration: 10 * time.Minute},
		},
		Timing: Timing{
			Heartbeat:       units.Duration{Duration: 500 * time.Millisecond},
			DeadAfter:       seconds(3),
			WorkerLease:     seconds(4),
			TaskLease:       units.Duration{Duration: 5 * time.Minute},
			ConfigFreshness: seconds(5),
		},
		Log: Log{Level: "info"},
	}
}

func seconds(n int) units.Duration {
	return units.Duration{Duration: time.Duration(n) * time.Second}
}

// Load reads the settings file at path. It returns every fault of the file. The
// settings may be used only if there is none.
func Load(path string) (Settings, []Fault) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, []Fault{{File: path, Message: "expected a readable file: " + err.Error()}}
	}
	return Parse(path, data)
}

// Parse reads settings from data. name identifies the file in faults. It returns
// every fault; the settings may be used only if there is none.
func Parse(name string, data []byte) (Settings, []Fault) {
	r := tomlfile.Decode(name, data, Default)
	c := r.Check(name)
	check(c, r.Value)
	return r.Value, c.Faults()
}

// Marshal encodes the settings as a TOML file that Parse reads.
func (s Settings) Marshal() ([]byte, error) {
	data, err := toml.Marshal(s)
	return data, errors.Wrap(err, "write settings")
}

// String returns the settings as TOML without the text of the private key.
func (s Settings) String() string {
	if s.TLS.KeyPEM != "" {
		s.TLS.KeyPEM = "(hidden)"
	}
	data, err := s.Marshal()
	if err != nil {
		return err.Error()
	}
	return string(data)
}
