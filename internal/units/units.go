// Package units defines quantities with a text form: durations, sizes, amounts of
// CPU and times of day. Every type marshals to and from text, for use in TOML
// files.
package units

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration written as "500ms", "3s" or "1h30m".
type Duration struct {
	time.Duration `toml:"-"`
}

// Expected describes the text form of a duration for error messages.
func (Duration) Expected() string { return `a duration with a unit, such as "500ms", "3s" or "10m"` }

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error if the
// unit is missing or the duration is negative.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 || !hasUnit(text) {
		return errors.Newf("expected %s, got %q", d.Expected(), text)
	}
	d.Duration = v
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(FormatDuration(d.Duration)), nil }

// FormatDuration formats d without trailing zero parts: "10m" rather than "10m0s".
func FormatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// hasUnit reports whether text ends in something other than a digit, unlike the
// bare "0" that time.ParseDuration accepts.
func hasUnit(text []byte) bool {
	return len(text) > 0 && (text[len(text)-1] < '0' || text[len(text)-1] > '9')
}

// sizeUnits are the binary units of a Size, largest first.
var sizeUnits = []struct {
	name  string
	bytes int64
}{
	{"TiB", 1 << 40},
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
	{"B", 1},
}

// Size is a number of bytes written as "512KiB" or "16MiB".
type Size struct {
	Bytes int64 `toml:"-"`
}

// Expected describes the text form of a size for error messages.
func (Size) Expected() string { return `a size with a unit, such as "512KiB", "16MiB" or "64GiB"` }

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error if the
// unit is missing or unknown, or if the number is negative or not an integer.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range sizeUnits {
		number, ok := strings.CutSuffix(string(text), u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(number, 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/u.bytes {
			break
		}
		s.Bytes = n * u.bytes
		return nil
	}
	return errors.Newf("expected %s, got %q", s.Expected(), text)
}

// String returns the size in its largest unit without remainder.
func (s Size) String() string {
	for _, u := range sizeUnits {
		if s.Bytes != 0 && s.Bytes%u.bytes == 0 {
			return strconv.FormatInt(s.Bytes/u.bytes, 10) + u.name
		}
	}
	return "0B"
}

// MarshalText implements encoding.TextMarshaler.
func (s Size) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// maxRoundingError is the tolerance for the error of floating-point arithmetic, in
// thousandths of a core.
const maxRoundingError = 1e-6

// milliPerCore is the number of thousandths of a core in one core.
const milliPerCore = 1000

// maxCores is the maximum amount of CPU, so that sums over a fleet do not overflow.
const maxCores = 1_000_000

// CPU is an amount of CPU written in cores (2, 0.5) or thousandths of a
// core ("500m").
type CPU struct {
	Milli int64 `toml:"-"`
}

// Expected describes the text form of an amount of CPU for error messages.
func (CPU) Expected() string { return `cores as a number, such as 2 or 0.5, or thousandths as "500m"` }

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error if the
// amount is negative or finer than a thousandth of a core.
func (c *CPU) UnmarshalText(text []byte) error {
	milli, err := parseMilli(string(text))
	if err != nil {
		return errors.Newf("expected %s, got %q", c.Expected(), text)
	}
	c.Milli = milli
	return nil
}

// parseMilli parses an amount of CPU and returns it in thousandths of a core.
func parseMilli(s string) (int64, error) {
	if number, ok := strings.CutSuffix(s, "m"); ok {
		n, err := strconv.ParseInt(number, 10, 64)
		if err != nil || n < 0 || n > maxCores*milliPerCore {
			return 0, errors.New("out of range")
		}
		return n, nil
	}
	cores, err := strconv.ParseFloat(s, 64)
	if err != nil || !(cores >= 0 && cores <= maxCores) {
		return 0, errors.New("out of range")
	}
	milli := math.Round(cores * milliPerCore)
	if math.Abs(milli-cores*milliPerCore) > maxRoundingError {
		return 0, errors.New("finer than a thousandth")
	}
	return int64(milli), nil
}

// String returns the amount in cores, or in thousandths if it is not whole.
func (c CPU) String() string {
	if c.Milli%milliPerCore == 0 {
		return strconv.FormatInt(c.Milli/milliPerCore, 10)
	}
	return strconv.FormatInt(c.Milli, 10) + "m"
}

// MarshalText implements encoding.TextMarshaler.
func (c CPU) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// TimeOfDay is a local time of day as the time since midnight, written as "17:30".
// The end of the day is "24:00".
type TimeOfDay struct {
	time.Duration `toml:"-"`
}

// Expected describes the text form of a time of day for error messages.
func (TimeOfDay) Expected() string { return `a time of day from "00:00" to "24:00"` }

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error unless
// text is hours and minutes, such as "17:30".
func (t *TimeOfDay) UnmarshalText(text []byte) error {
	if string(text) == "24:00" {
		t.Duration = 24 * time.Hour
		return nil
	}
	v, err := time.Parse("15:04", string(text))
	if err != nil {
		return errors.Newf("expected %s, got %q", t.Expected(), text)
	}
	t.Duration = time.Duration(v.Hour())*time.Hour + time.Duration(v.Minute())*time.Minute
	return nil
}

// String returns the time of day as HH:MM.
func (t TimeOfDay) String() string {
	hours, minutes := t.Duration/time.Hour, t.Duration%time.Hour/time.Minute
	return pad(int64(hours)) + ":" + pad(int64(minutes))
}

// pad formats n with at least two digits.
func pad(n int64) string {
	if n < 10 {
		return "0" + strconv.FormatInt(n, 10)
	}
	return strconv.FormatInt(n, 10)
}

// MarshalText implements encoding.TextMarshaler.
func (t TimeOfDay) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// CeilSeconds returns d in whole seconds, rounded up.
func CeilSeconds(d time.Duration) int64 { return int64((d + time.Second - 1) / time.Second) }
