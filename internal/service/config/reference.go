package config

import (
	"strings"

	"pollenbend/internal/model"
)

const (
	// hashReference begins the reference of a declared key. The log holds the
	// same hash.
	hashReference = "sha256:"
	// unknownReference stands for every key that was not known. Not even its
	// hash is kept: it may be anything that a caller took for a key.
	unknownReference = "unknown"
)

// KeyReference returns what stands for a caller's key in a trace, at this moment.
// It holds no secret.
func (s *Service) KeyReference(secret string) string {
	if secret == "" {
		return ""
	}
	if key, ok := s.authenticate(secret); ok {
		return hashReference + key.SHA256
	}
	return unknownReference
}

// TakeReferences makes this service take references for callers' keys, and no
// secrets.
func (s *Service) TakeReferences() { s.references = true }

func (s *Service) authenticate(secret string) (model.Key, bool) {
	if !s.references {
		return s.state.Authenticate(secret)
	}
	hash, ok := strings.CutPrefix(secret, hashReference)
	if !ok {
		return model.Key{}, false
	}
	return s.state.AuthenticateHash(hash)
}
