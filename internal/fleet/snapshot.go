package fleet

import (
	"maps"
	"slices"
)

// Snapshot is an immutable list of endpoints, sorted by name.
type Snapshot struct {
	endpoints []Endpoint
	ready     []Endpoint
	index     map[string]int
	revision  uint64
}

// NewSnapshot returns a snapshot of the endpoints at the given revision.
func NewSnapshot(revision uint64, endpoints []Endpoint) *Snapshot {
	s := &Snapshot{
		endpoints: slices.Clone(endpoints),
		index:     make(map[string]int, len(endpoints)),
		revision:  revision,
	}
	slices.SortFunc(s.endpoints, func(a, b Endpoint) int {
		if a.Name() < b.Name() {
			return -1
		}
		return 1
	})
	for i, e := range s.endpoints {
		s.index[e.Name()] = i
		if e.state == Ready {
			s.ready = append(s.ready, e)
		}
	}
	return s
}

// Revision returns the number that grows with each change of the fleet.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Len returns the number of endpoints in any state.
func (s *Snapshot) Len() int { return len(s.endpoints) }

// All returns all endpoints, which the caller must not modify.
func (s *Snapshot) All() []Endpoint { return s.endpoints }

// Ready returns the endpoints that take new work, which the caller must not modify.
func (s *Snapshot) Ready() []Endpoint { return s.ready }

// Find returns the endpoint of the named worker.
func (s *Snapshot) Find(name string) (e Endpoint, ok bool) {
	i, ok := s.index[name]
	if !ok {
		return Endpoint{}, false
	}
	return s.endpoints[i], true
}

// With returns a snapshot in which changed endpoints replace those of the same name and removed ones are gone.
func (s *Snapshot) With(revision uint64, changed []Endpoint, removed []string) *Snapshot {
	byName := make(map[string]Endpoint, len(s.endpoints)+len(changed))
	for _, e := range s.endpoints {
		byName[e.Name()] = e
	}
	for _, e := range changed {
		if old, ok := byName[e.Name()]; ok && old.incarnation == e.incarnation {
			e.load = old.load
		}
		byName[e.Name()] = e
	}
	for _, name := range removed {
		delete(byName, name)
	}
	return NewSnapshot(revision, slices.Collect(maps.Values(byName)))
}
