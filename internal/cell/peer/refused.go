package peer

import (
	"syscall"

	"github.com/cockroachdb/errors"
)

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
