package config

import (
	"strings"

	"pollenbend/internal/model"
)

const (
	// hashReferencePrefix starts the reference to a declared key; the hash of its secret
	// follows. The log contains the same hash.
	hashReferencePrefix = "sha256:"
	// unknownReference replaces every unknown key. Not even its hash is kept, because it
	// may be any text that a caller took for a key.
	unknownReference = "unknown"
)

// KeyReference returns the reference that replaces a caller's key in a trace. It
// contains no secret.
func (s *Service) KeyReference(secret string) string {
	if secret == "" {
		return ""
	}
	if key, ok := s.authenticate(secret); ok {
		return hashReferencePrefix + key.SHA256
	}
	return unknownReference
}

// AcceptKeyReferences makes this service accept references in place of callers'
// keys, and no secrets.
func (s *Service) AcceptKeyReferences() { s.keyReferences = true }

func (s *Service) authenticate(secret string) (model.Key, bool) {
	if !s.keyReferences {
		return s.state.Authenticate(secret)
	}
	hash, ok := strings.CutPrefix(secret, hashReferencePrefix)
	if !ok {
		return model.Key{}, false
	}
	return s.state.AuthenticateHash(hash)
}
