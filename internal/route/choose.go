package route

import (
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/fleet"
)

// Random is a source of random numbers; math/rand/v2's *Rand and functions fit.
type Random interface {
	IntN(n int) int
}

// candidateDraws is the number of random candidates that are compared.
const candidateDraws = 2

// Choose returns the less loaded of two random ready endpoints with a free slot, passing over the excluded names and
// the endpoints that are set aside.
func Choose(s *fleet.Snapshot, random Random, excluded []string, now time.Time) (chosen fleet.Endpoint, ok bool) {
	ready := s.Ready()
	if len(ready) == 0 {
		return fleet.Endpoint{}, false
	}
	best := -1
	for range candidateDraws {
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

// scan returns the first usable endpoint at or after start, or -1. An endpoint that is set aside counts when more are
// so than may be, as after the others have left.
func scan(ready []fleet.Endpoint, start int, excluded []string, now time.Time) int {
	suspects, spare := 0, -1
	for i := range ready {
		k := (start + i) % len(ready)
		if ready[k].Load().Quarantined() {
			suspects++
		}
		if !usable(&ready[k], excluded) {
			continue
		}
		if !ready[k].Load().Blocked(now) {
			return k
		}
		if spare < 0 {
			spare = k
		}
	}
	if suspects > mostAside(len(ready)) {
		return spare
	}
	return -1
}

// usable reports whether e may take one more request. The count of other processes' requests is as old as the
// last answer, so it does not bar an endpoint at which this process has nothing; the next answer corrects it.
func usable(e *fleet.Endpoint, excluded []string) bool {
	l := e.Load()
	return (l.OwnInFlight() == 0 || l.InFlight() < int64(e.Slots())) && !slices.Contains(excluded, e.Name())
}

// less compares the shares of slots in use without a division.
func less(a, b *fleet.Endpoint) bool {
	return a.Load().InFlight()*int64(b.Slots()) < b.Load().InFlight()*int64(a.Slots())
}
