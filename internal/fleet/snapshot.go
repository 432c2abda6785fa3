package fleet

import (
	"slices"
	"strings"
)

// Snapshot is an immutable list of endpoints, sorted by name.
type Snapshot struct {
	endpoints []Endpoint
	ready     []Endpoint
	revision  uint64
}

// NewSnapshot returns a snapshot of the endpoints, which need not be sorted, at the given revision.
func NewSnapshot(revision uint64, endpoints []Endpoint) *Snapshot {
	sorted := slices.Clone(endpoints)
	slices.SortFunc(sorted, compareNames)
	return fromSorted(revision, sorted)
}

func fromSorted(revision uint64, endpoints []Endpoint) *Snapshot {
	s := &Snapshot{endpoints: endpoints, ready: make([]Endpoint, 0, len(endpoints)), revision: revision}
	for _, e := range endpoints {
		if e.state == Ready {
			s.ready = append(s.ready, e)
		}
	}
	return s
}

func compareNames(a, b Endpoint) int { return strings.Compare(a.Name(), b.Name()) }

// Revision returns the revision, which increases with each change of the fleet.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Len returns the number of endpoints in any state.
func (s *Snapshot) Len() int { return len(s.endpoints) }

// All returns the endpoints in any state; the caller must not modify the list.
func (s *Snapshot) All() []Endpoint { return s.endpoints }

// Ready returns the endpoints in state Ready, which get new requests; the caller must not modify the list.
func (s *Snapshot) Ready() []Endpoint { return s.ready }

// Find returns the endpoint of the named worker; ok is false if there is none.
func (s *Snapshot) Find(name string) (e Endpoint, ok bool) {
	i, ok := search(s.endpoints, name)
	if !ok {
		return Endpoint{}, false
	}
	return s.endpoints[i], true
}

// With returns a snapshot in which changed endpoints replace those of the same name, and from which the removed ones are
// absent.
func (s *Snapshot) With(revision uint64, changed []Endpoint, removed []string) *Snapshot {
	next := slices.Clone(changed)
	slices.SortFunc(next, compareNames)
	kept := s.endpoints
	if len(removed) > 0 {
		sortedRemoved := slices.Sorted(slices.Values(removed))
		kept = slices.DeleteFunc(slices.Clone(kept), func(e Endpoint) bool {
			_, found := slices.BinarySearch(sortedRemoved, e.Name())
			return found
		})
	}
	merged := make([]Endpoint, 0, len(kept)+len(next))
	for _, e := range next {
		// Each sequence of unchanged endpoints is copied as a whole; comparing each name takes ten times as long with 7,200
		// endpoints.
		at, known := search(kept, e.Name())
		merged = append(merged, kept[:at]...)
		kept = kept[at:]
		if known {
			e, kept = withKeptLoad(kept[0], e), kept[1:]
		}
		merged = append(merged, e)
	}
	return fromSorted(revision, append(merged, kept...))
}

func search(sorted []Endpoint, name string) (at int, ok bool) {
	return slices.BinarySearchFunc(sorted, name, func(e Endpoint, n string) int { return strings.Compare(e.Name(), n) })
}

// withKeptLoad returns the changed endpoint, with the load of the old one if the agent's incarnation is the same.
func withKeptLoad(old, changed Endpoint) Endpoint {
	if old.Incarnation() == changed.Incarnation() {
		return changed.WithLoad(old.load)
	}
	return changed
}
