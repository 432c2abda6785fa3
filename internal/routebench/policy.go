package routebench

import (
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/route"
)

// Policy is a set of decisions; every turn-th grant goes to a patient request.
type Policy struct {
	name     string
	choice   Choice
	shedding Shedding
	turn     int
	budgeted bool
	health   route.QuarantineRule
}

// NewPolicy returns a policy; Today, Fixed and 4 are what the entry role does.
func NewPolicy(name string, c Choice, s Shedding, turn int) Policy {
	return Policy{name: name, choice: c, shedding: s, turn: turn, health: route.NewQuarantineRule(5, time.Second)}
}

// WithBudgetedRetries returns the policy with one retry budget for all retries, those after a full endpoint included.
func (p Policy) WithBudgetedRetries() Policy {
	p.budgeted = true
	return p
}

// WithoutHealth returns the policy with endpoints that are never set aside.
func (p Policy) WithoutHealth() Policy {
	p.health = route.NewQuarantineRule(0, 0)
	return p
}

// Choice is a way to choose an endpoint.
//
//sumtype:decl
type Choice interface{ choice() }

// Today is the choice of package route.
type Today struct{}

// Draws is the least loaded of count random endpoints, of all if count is 0; a request of the host itself counts
// weight times.
type Draws struct {
	count  int
	weight int64
}

// NewDraws returns a choice among count candidates.
func NewDraws(count int, weight int64) Draws { return Draws{count: count, weight: weight} }

func (Today) choice() {}
func (Draws) choice() {}

// Shedding is what happens to requests that wait while there is more work than capacity.
//
//sumtype:decl
type Shedding interface{ shedding() }

// Fixed bounds the queue of each workspace and the wait.
type Fixed struct{}

// ByDelay drops what has waited for the target once the queue of its urgency has not been empty for the interval.
type ByDelay struct{ target, interval time.Duration }

// NewByDelay returns shedding by the delay in the queue.
func NewByDelay(target, interval time.Duration) ByDelay {
	return ByDelay{target: target, interval: interval}
}

// NewestFirst serves the newest request of a workspace once the queue of its urgency has not been empty for the interval.
type NewestFirst struct{ interval time.Duration }

// NewNewestFirst returns service of the newest request after an interval of overload.
func NewNewestFirst(interval time.Duration) NewestFirst { return NewestFirst{interval: interval} }

func (Fixed) shedding()       {}
func (ByDelay) shedding()     {}
func (NewestFirst) shedding() {}

func choose(c Choice, s *fleet.Snapshot, random route.Random, excluded []string, now time.Time) (best fleet.Endpoint, ok bool) {
	switch c := c.(type) {
	case Today:
		return route.Choose(s, random, excluded, now)
	case Draws:
		ready, start := s.Ready(), random.IntN(s.Len())
		if c.count == 0 {
			return c.least(ready, start, excluded, now)
		}
		candidates := make([]fleet.Endpoint, c.count)
		for i := range candidates {
			candidates[i] = ready[random.IntN(len(ready))]
		}
		if best, ok = c.least(candidates, 0, excluded, now); ok {
			return best, true
		}
		return c.least(ready, start, excluded, now)
	}
	return fleet.Endpoint{}, false
}

// least returns the least loaded free endpoint, the first one from start on among equals.
func (d Draws) least(list []fleet.Endpoint, start int, excluded []string, now time.Time) (best fleet.Endpoint, ok bool) {
	var lowest int64
	for i := range list {
		e := &list[(start+i)%len(list)]
		own, all := e.Load().OwnInFlight(), e.Load().InFlight()
		weighed := all + (d.weight-1)*own
		free := (own == 0 || all < slots) && !slices.Contains(excluded, e.Name()) && !e.Load().Blocked(now)
		if free && (!ok || weighed < lowest) {
			best, lowest, ok = *e, weighed, true
		}
	}
	return best, ok
}
