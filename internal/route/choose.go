package route

import (
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/fleet"
)

// Random is a source of random numbers, such as *rand.Rand of math/rand/v2.
type Random interface {
	// IntN returns a random number in [0, n).
	IntN(n int) int
}

// candidateCount is the number of random endpoints of which the least loaded is chosen.
const candidateCount = 2

// Choose returns the less loaded of two random ready endpoints that have a free slot, are not excluded by name and are
// not quarantined. If neither is usable, it searches all ready endpoints; ok is false if none is usable.
func Choose(s *fleet.Snapshot, random Random, excluded []string, now time.Time) (chosen fleet.Endpoint, ok bool) {
	ready := s.Ready()
	if len(ready) == 0 {
		return fleet.Endpoint{}, false
	}
	best := -1
	for range candidateCount {
		i := random.IntN(len(ready))
		if usable(&ready[i], excluded) && !ready[i].Load().Blocked(now) && (best < 0 || less(&ready[i], &ready[best])) {
			best = i
		}
	}
	if best < 0 {
		best = scan(ready, random.IntN(len(ready)), excluded, now)
	}
	if best < 0 {
		return fleet.Endpoint{}, false
	}
	return ready[best], true
}

// scan returns the index of the first usable endpoint at or after start, or -1. It falls back on a quarantined endpoint
// if more are quarantined than allowed, as happens after healthy endpoints have left.
func scan(ready []fleet.Endpoint, start int, excluded []string, now time.Time) int {
	quarantined, fallback := 0, -1
	for i := range ready {
		k := (start + i) % len(ready)
		if ready[k].Load().Quarantined() {
			quarantined++
		}
		if !usable(&ready[k], excluded) {
			continue
		}
		if !ready[k].Load().Blocked(now) {
			return k
		}
		if fallback < 0 {
			fallback = k
		}
	}
	if quarantined > maxQuarantined(len(ready)) {
		return fallback
	}
	return -1
}

// usable reports whether e has a free slot and is not excluded. The count of other processes' requests is as old as the
// last answer from e, so it is ignored if this process has no request in flight there; the next answer corrects it.
func usable(e *fleet.Endpoint, excluded []string) bool {
	l := e.Load()
	return (l.OwnInFlight() == 0 || l.InFlight() < int64(e.Slots())) && !slices.Contains(excluded, e.Name())
}

// less reports whether a smaller share of slots is in use at a than at b. It multiplies to avoid divisions.
func less(a, b *fleet.Endpoint) bool {
	return a.Load().InFlight()*int64(b.Slots()) < b.Load().InFlight()*int64(a.Slots())
}
