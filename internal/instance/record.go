package instance

import (
	"os"

	"github.com/cockroachdb/errors"
)

// recordMode lets only the owner read a trace: it holds callers' payloads.
const recordMode = 0o600

// openRecord makes the file for the event trace, or none without a path.
func openRecord(path string) (*os.File, error) {
	if path == "" {
		return nil, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, recordMode)
	return f, errors.Wrap(err, "open the file for the event trace")
}

func closeRecord(f *os.File) {
	if f != nil {
		_ = f.Close()
	}
}
