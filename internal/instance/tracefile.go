package instance

import (
	"os"

	"github.com/cockroachdb/errors"
)

// traceFileMode lets only the owner read a trace, because it contains callers'
// payloads.
const traceFileMode = 0o600

// openTraceFile creates the file for the event trace. It returns nil if path is
// empty.
func openTraceFile(path string) (*os.File, error) {
	if path == "" {
		return nil, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, traceFileMode)
	return f, errors.Wrap(err, "open the file for the event trace")
}

func closeTraceFile(f *os.File) {
	if f != nil {
		_ = f.Close()
	}
}
