package record

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Withdrawal is the record of a cancellation by whose acknowledgement a submission of the job that arrives later is
// refused.
type Withdrawal struct {
	Job    string `cbor:"1,keyasint"`
	Team   string `cbor:"2,keyasint,omitempty"` // of the caller's key
	Queue  string `cbor:"3,keyasint,omitempty"` // that the cancellation was sent to
	Public bool   `cbor:"4,keyasint,omitempty"` // the queue takes requests without a key
}

const withdrawalPrefix = "w/"

// Key returns the key of the record of w, which is the same for the same job and caller.
func (w *Withdrawal) Key() string {
	caller := strconv.Quote(w.Team) + strconv.Quote(w.Queue) + strconv.FormatBool(w.Public)
	return fmt.Sprintf("%s%s/%016x", withdrawalPrefix, w.Job, xxhash.Sum64String(caller))
}

// IsWithdrawal reports whether key is that of a withdrawal.
func IsWithdrawal(key string) bool { return strings.HasPrefix(key, withdrawalPrefix) }
