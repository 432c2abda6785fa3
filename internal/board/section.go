package board

import "sync/atomic"

// Section holds one immutable value with a single writer and lock-free readers.
type Section[T any] struct {
	current atomic.Pointer[publication[T]]
}

type publication[T any] struct {
	value   T
	version uint64
	changed chan struct{}
}

// NewSection returns a section that holds value at version 0.
func NewSection[T any](value T) *Section[T] {
	s := &Section[T]{}
	s.current.Store(&publication[T]{value: value, changed: make(chan struct{})})
	return s
}

// Load returns the published value, which the caller must not modify.
func (s *Section[T]) Load() T {
	return s.current.Load().value
}

// Version returns the number of publications so far.
func (s *Section[T]) Version() uint64 {
	return s.current.Load().version
}

// Watch returns the published value and a channel that is closed at the next publication.
func (s *Section[T]) Watch() (value T, changed <-chan struct{}) {
	p := s.current.Load()
	return p.value, p.changed
}

// Publish replaces the value and wakes all watchers; only the owning controller may call it.
func (s *Section[T]) Publish(value T) {
	old := s.current.Load()
	s.current.Store(&publication[T]{value: value, version: old.version + 1, changed: make(chan struct{})})
	close(old.changed)
}
