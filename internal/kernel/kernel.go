// Package kernel is the registry through which the services of the decision core
// look each other up by name.
package kernel

import "github.com/cockroachdb/errors"

// Service is a service that can be registered.
type Service interface {
	// Name returns the name under which other services look this one up.
	Name() string
}

// Kernel contains services in the order of their registration.
type Kernel struct {
	byName map[string]Service
	order  []Service
}

// New returns an empty Kernel.
func New() *Kernel { return &Kernel{byName: make(map[string]Service)} }

// Register adds s. It returns an error when its name is already registered.
func (k *Kernel) Register(s Service) error {
	if _, taken := k.byName[s.Name()]; taken {
		return errors.Newf("service %q is already registered", s.Name())
	}
	k.byName[s.Name()] = s
	k.order = append(k.order, s)
	return nil
}

// Find returns the service registered under name as a T. It returns an error
// when there is none or when it does not implement T.
func Find[T any](k *Kernel, name string) (T, error) {
	var zero T
	s, ok := k.byName[name]
	if !ok {
		return zero, errors.Newf("service %q is not registered", name)
	}
	t, ok := s.(T)
	if !ok {
		return zero, errors.Newf("service %q does not implement %T", name, &zero)
	}
	return t, nil
}

// All returns every registered service that implements T, in order of
// registration.
func All[T any](k *Kernel) []T {
	var found []T
	for _, s := range k.order {
		if t, ok := s.(T); ok {
			found = append(found, t)
		}
	}
	return found
}
