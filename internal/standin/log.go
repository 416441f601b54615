package standin

import (
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"pollenbend/internal/platform"
	"pollenbend/internal/verdict"
)

// ErrAnswerLost reports that a command took effect but its answer was lost.
var ErrAnswerLost = errors.New("answer lost")

// Defaults and limits of the log.
const (
	// DefaultLogRate is the number of appends that the log accepts per second.
	DefaultLogRate = 500
	// DefaultLogRetention is the number of entries retained in a stream.
	DefaultLogRetention = 100_000

	maxReadEntries   = 1000                  // entries in one batch
	appendBurst      = 50                    // appends accepted at once
	appendRetryDelay = 20 * time.Millisecond // sent to the client when the rate is exceeded
)

// LogFaults are the injected faults of the log.
type LogFaults struct {
	// Down refuses every append and read.
	Down bool `json:"down,omitempty"`
	// Slow delays every answer after the operation took effect. Log applies it,
	// not LogCore.
	Slow time.Duration `json:"slow,omitempty"`
	// LoseAnswer makes appends take effect but return ErrAnswerLost.
	LoseAnswer bool `json:"lose_answer,omitempty"`
	// Rate replaces the maximum appends per second when it is positive.
	Rate float64 `json:"rate,omitempty"`
	// Retention replaces the number of retained entries when it is positive.
	Retention int `json:"retention,omitempty"`
}

// LogSettings configures a LogCore. Zero fields get defaults.
type LogSettings struct {
	Rate      float64 // maximum appends per second
	Retention int     // entries retained in a stream
}

func (s LogSettings) withDefaults() LogSettings {
	if s.Rate == 0 {
		s.Rate = DefaultLogRate
	}
	if s.Retention == 0 {
		s.Retention = DefaultLogRetention
	}
	return s
}

// LogCore is the state machine of the log. It does no I/O, takes the time as an
// argument and is not safe for concurrent use.
type LogCore struct {
	settings LogSettings
	faults   LogFaults
	limiter  *rate.Limiter
	streams  map[string]*stream
}

// stream holds the retained entries of a stream. The first has the offset oldest;
// offsets begin at 1.
type stream struct {
	oldest  uint64
	entries []platform.Entry
}

// next returns the offset of the next appended entry.
func (s *stream) next() uint64 { return s.oldest + uint64(len(s.entries)) }

// NewLogCore returns an empty log.
func NewLogCore(s LogSettings) *LogCore {
	s = s.withDefaults()
	return &LogCore{
		settings: s,
		limiter:  rate.NewLimiter(rate.Limit(s.Rate), appendBurst),
		streams:  map[string]*stream{},
	}
}

// Faults returns the faults in force.
func (c *LogCore) Faults() LogFaults { return c.faults }

// SetFaults replaces the faults in force.
func (c *LogCore) SetFaults(now time.Time, f LogFaults) {
	c.faults = f
	limit := c.settings.Rate
	if f.Rate > 0 {
		limit = f.Rate
	}
	c.limiter.SetLimitAt(now, rate.Limit(limit))
	for _, s := range c.streams {
		c.trim(s)
	}
}

// Append adds an entry and returns its offset. Its errors carry verdict.NotRun,
// except ErrAnswerLost.
func (c *LogCore) Append(now time.Time, name string, data []byte) (uint64, error) {
	if err := c.checkAvailable(); err != nil {
		return 0, err
	}
	if !c.limiter.AllowN(now, 1) {
		return 0, verdict.Refuse(verdict.CodeOverloaded, "log: append rate exceeded").WithRetryAfter(appendRetryDelay)
	}
	s := c.stream(name)
	offset := s.next()
	s.entries = append(s.entries, platform.Entry{
		Offset: offset,
		Data:   append([]byte(nil), data...),
	})
	c.trim(s)
	if c.faults.LoseAnswer {
		return 0, ErrAnswerLost
	}
	return offset, nil
}

// Read returns at most limit entries, beginning with the offset from, or with the
// oldest entry when from is no longer retained.
func (c *LogCore) Read(name string, from uint64, limit int) (platform.Batch, error) {
	if err := c.checkAvailable(); err != nil {
		return platform.Batch{}, err
	}
	s := c.stream(name)
	b := platform.Batch{Oldest: s.oldest, Next: s.next()}
	first := max(from, s.oldest)
	if first >= b.Next {
		return b, nil
	}
	tail := s.entries[first-s.oldest:]
	if limit <= 0 || limit > maxReadEntries {
		limit = maxReadEntries
	}
	b.Entries = append(b.Entries, tail[:min(limit, len(tail))]...)
	return b, nil
}

func (c *LogCore) checkAvailable() error {
	if c.faults.Down {
		return verdict.Refuse(verdict.CodeUnavailable, "log: down")
	}
	return nil
}

func (c *LogCore) stream(name string) *stream {
	s, ok := c.streams[name]
	if !ok {
		s = &stream{oldest: 1}
		c.streams[name] = s
	}
	return s
}

// trim removes the oldest entries that exceed the retention.
func (c *LogCore) trim(s *stream) {
	retention := c.settings.Retention
	if c.faults.Retention > 0 {
		retention = c.faults.Retention
	}
	excess := len(s.entries) - retention
	if excess <= 0 {
		return
	}
	s.entries = s.entries[excess:]
	s.oldest += uint64(excess)
}
