package declare

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"io"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/model"
)

const (
	secretPrefix  = "pb_"
	secretBytes   = 32
	changeIDBytes = 16
)

// NewSecret generates a secret of 256 bits from random and returns it with its
// SHA-256 hash in hex. It returns an error if reading random fails.
func NewSecret(random io.Reader) (secret, hash string, err error) {
	raw := make([]byte, secretBytes)
	if _, err := io.ReadFull(random, raw); err != nil {
		return "", "", errors.Wrap(err, "generate a secret")
	}
	secret = secretPrefix + base64.RawURLEncoding.EncodeToString(raw)
	return secret, HashSecret(secret), nil
}

// HashSecret returns the SHA-256 hash of a secret in hex, as in a key's
// declaration.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// NewChangeID generates a change id from random and returns it in hex. It returns an
// error if reading random fails.
func NewChangeID(random io.Reader) (string, error) {
	raw := make([]byte, changeIDBytes)
	if _, err := io.ReadFull(random, raw); err != nil {
		return "", errors.Wrap(err, "generate a change id")
	}
	return hex.EncodeToString(raw), nil
}

// Withdrawal is the deletion or alteration of the key with a hash by the change
// at an offset of the log.
type Withdrawal struct {
	SHA256 string `cbor:"1,keyasint"`
	Offset uint64 `cbor:"2,keyasint"`
}

// Authenticate returns the key that belongs to a secret. Hashes are compared in
// constant time.
func (s *State) Authenticate(secret string) (model.Key, bool) {
	return s.AuthenticateHash(HashSecret(secret))
}

// AuthenticateHash returns the key that belongs to the SHA-256 hash of a secret,
// in hex.
func (s *State) AuthenticateHash(hash string) (model.Key, bool) {
	if len(hash) != hex.EncodedLen(sha256.Size) {
		return model.Key{}, false
	}
	name, ok := s.secrets.find(hash)
	if !ok {
		return model.Key{}, false
	}
	k, ok := s.keys[name]
	return k, ok
}

// HasOperatorKey reports whether a key of scope operator is declared. Once one is
// declared, a change that would leave none is invalid.
func (s *State) HasOperatorKey() bool {
	for _, k := range s.keys {
		if isOperatorKey(k) {
			return true
		}
	}
	return false
}

func isOperatorKey(k model.Key) bool { return k.Scope == model.ScopeOperator }

// Withdraw makes the state reject the key with the hash of w until the log has
// been applied up to w.Offset. It is used for withdrawals received from a peer.
// It reports whether w was new.
func (s *State) Withdraw(w Withdrawal) bool {
	if w.Offset <= s.applied || s.secrets.withdrawn[w.SHA256] >= w.Offset {
		return false
	}
	s.secrets.withdrawn[w.SHA256] = w.Offset
	return true
}

// withdrawals returns a withdrawal for each key that a change deletes or alters.
func (s *State) withdrawals(offset uint64, c model.Change) []Withdrawal {
	var list []Withdrawal
	for _, ref := range c.Delete {
		if ref.Kind == model.ObjectKey {
			list = append(list, Withdrawal{SHA256: s.keys[ref.Name].SHA256, Offset: offset})
		}
	}
	for _, k := range c.Put.Keys {
		if old, ok := s.keys[k.Name]; ok && old != k {
			list = append(list, Withdrawal{SHA256: old.SHA256, Offset: offset})
		}
	}
	return list
}

// prefixHexSize is the number of leading hex digits of a hash that secretIndex is
// keyed by.
const prefixHexSize = 16

// secretIndex maps the hashes of secrets to the names of keys.
type secretIndex struct {
	byPrefix  map[string][]hashedKey
	withdrawn map[string]uint64 // by hash: offset of the withdrawal
}

// hashedKey is the name of a key and the hash of its secret, both as declared.
type hashedKey struct {
	hash string
	name string
}

func newSecretIndex() secretIndex {
	return secretIndex{byPrefix: map[string][]hashedKey{}, withdrawn: map[string]uint64{}}
}

func (x *secretIndex) find(hash string) (name string, ok bool) {
	if _, withdrawn := x.withdrawn[hash]; withdrawn {
		return "", false
	}
	for _, k := range x.byPrefix[hash[:prefixHexSize]] {
		if subtle.ConstantTimeCompare([]byte(k.hash), []byte(hash)) == 1 {
			return k.name, true
		}
	}
	return "", false
}

func (x *secretIndex) add(k model.Key) {
	prefix := k.SHA256[:prefixHexSize]
	x.byPrefix[prefix] = append(x.byPrefix[prefix], hashedKey{hash: k.SHA256, name: k.Name})
}

// remove removes a key from the index. It ignores the zero key.
func (x *secretIndex) remove(k model.Key) {
	if k.SHA256 == "" {
		return
	}
	prefix := k.SHA256[:prefixHexSize]
	var remaining []hashedKey
	for _, h := range x.byPrefix[prefix] {
		if h.name != k.Name {
			remaining = append(remaining, h)
		}
	}
	if len(remaining) == 0 {
		delete(x.byPrefix, prefix)
		return
	}
	x.byPrefix[prefix] = remaining
}

// dropAppliedWithdrawals removes the withdrawals up to the offset applied.
func (x *secretIndex) dropAppliedWithdrawals(applied uint64) {
	for hash, offset := range x.withdrawn {
		if offset <= applied {
			delete(x.withdrawn, hash)
		}
	}
}
