package logsink

import (
	"log/slog"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// class groups the lines that share bounds.
type class int

const (
	general     class = iota // the state of the instance, such as who leads
	item                     // one job, worker or request
	itemWarning              // the same, at the level WARN or above
	output                   // lines of any class that could not be written
	classes
)

// String returns the name of c in log lines and metrics.
func (c class) String() string {
	return [classes]string{"general", "item", "item_warning", "output"}[c]
}

const (
	// At about 250 bytes a line, the lines of all classes take about 550 KB/s.
	maxItemLinesPerSecond    = 1500
	maxItemWarningsPerSecond = 500
	maxGeneralLinesPerSecond = 200

	// maxQueuedLines is the maximum number of lines that wait to be written, apart from
	// those reserved for messages.
	maxQueuedLines        = 4096
	maxQueuedItemWarnings = 1024
	maxQueuedGeneralLines = 512
	maxQueuedItemLines    = maxQueuedLines - maxQueuedItemWarnings - maxQueuedGeneralLines

	// reservedItemLines and reservedGeneralLines are the numbers of lines with the same
	// message that are written although other messages have used up the bound.
	reservedItemLines    = 100
	reservedGeneralLines = 20

	// maxMessages is the number of messages of a class that are counted separately.
	maxMessages = 64
)

// bounds are the bounds of one class and what was left out because of them.
type bounds struct {
	perSecond, queued quota
	second            time.Time // start of the current second
	leftOut           leftOut
	total             gometrics.Counter // lines left out since the start
}

func newBounds(perSecond, queued, reserved int) bounds {
	return bounds{
		perSecond: quota{max: perSecond, reserved: reserved}, queued: quota{max: queued, reserved: reserved},
		total: gometrics.NewCounter(),
	}
}

// admit reports whether a line with this message is within the bounds, and counts it.
func (b *bounds) admit(message string, now time.Time) bool {
	if now.Sub(b.second) >= time.Second {
		b.second = now
		b.perSecond.reset()
	}
	if !b.perSecond.take(message) {
		b.leaveOut(message, 1, now)
		return false
	}
	if !b.queued.take(message) {
		b.leaveOut(message, 1, now)
		b.leftOut.queueFull++
		return false
	}
	return true
}

// leaveOut counts n lines with this message that are not written.
func (b *bounds) leaveOut(message string, n int, now time.Time) {
	b.total.Inc(int64(n))
	if b.leftOut.count == 0 {
		b.leftOut.since = now
	}
	b.leftOut.count += n
	b.leftOut.byMessage.add(message, n)
}

// leftOut describes the lines of a class that were left out since the last report.
type leftOut struct {
	count     int
	queueFull int // those for which the queue had no room
	since     time.Time
	byMessage messageCounts
}

// attrs returns the attributes of the line that reports l.
func (l *leftOut) attrs(c class) []any {
	message, n := l.byMessage.most()
	return []any{
		slog.String("class", c.String()), slog.Int("count", l.count), slog.Int("queue_full", l.queueFull),
		slog.String("message", message), slog.Int("message_count", n),
	}
}

// quota bounds a number of lines. The first lines of each message are within it even if
// other messages have used it up.
type quota struct {
	max, reserved int
	used          int
	byMessage     messageCounts
}

// take reports whether one more line with this message is within the quota, and counts
// it.
func (q *quota) take(message string) bool {
	if q.used >= q.max && (q.byMessage[message] >= q.reserved || !q.byMessage.hasRoomFor(message)) {
		return false
	}
	q.used++
	q.byMessage.add(message, 1)
	return true
}

func (q *quota) reset() {
	q.used = 0
	clear(q.byMessage)
}

// messageCounts counts lines by message, for at most maxMessages messages.
type messageCounts map[string]int

func (m messageCounts) hasRoomFor(message string) bool {
	_, known := m[message]
	return known || len(m) < maxMessages
}

// add counts n lines with this message if there is room for it.
func (m *messageCounts) add(message string, n int) {
	if *m == nil {
		*m = make(messageCounts)
	}
	if m.hasRoomFor(message) {
		(*m)[message] += n
	}
}

// most returns the message with the highest count, and the count.
func (m messageCounts) most() (message string, n int) {
	for candidate, count := range m {
		if count > n || count == n && candidate < message {
			message, n = candidate, count
		}
	}
	return message, n
}
