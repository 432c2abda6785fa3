package routebench

import (
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/route"
)

// Policy is a set of decisions about requests; every patientInterval-th grant goes to a patient request.
type Policy struct {
	name             string
	choice           Choice
	shedding         Shedding
	patientInterval  int
	budgetAllRetries bool
	quarantine       route.QuarantineRule
}

// NewPolicy returns a policy that quarantines an endpoint for a second after 5 consecutive failures; patientInterval 0
// gives patient requests no grants of their own. CurrentChoice, FixedLimits and 4 are the policy of package entry.
func NewPolicy(name string, c Choice, s Shedding, patientInterval int) Policy {
	return Policy{name: name, choice: c, shedding: s, patientInterval: patientInterval, quarantine: route.NewQuarantineRule(5, time.Second)}
}

// WithBudgetForAllRetries returns the policy with retries after a full endpoint charged to the retry budget like those
// after a failure.
func (p Policy) WithBudgetForAllRetries() Policy {
	p.budgetAllRetries = true
	return p
}

// WithoutQuarantine returns the policy without quarantine of endpoints, whatever their failures.
func (p Policy) WithoutQuarantine() Policy {
	p.quarantine = route.NewQuarantineRule(0, 0)
	return p
}

// Choice is an algorithm that chooses the endpoint of a request.
//
//sumtype:decl
type Choice interface{ choice() }

// CurrentChoice is the algorithm of package route.
type CurrentChoice struct{}

// LeastLoaded chooses the least loaded of a number of random candidates, or of all endpoints if that number is 0. The
// requests that the entry host itself has in flight count ownWeight times.
type LeastLoaded struct {
	candidates int
	ownWeight  int64
}

// NewLeastLoaded returns a choice among the given number of random candidates, 0 for all endpoints.
func NewLeastLoaded(candidates int, ownWeight int64) LeastLoaded {
	return LeastLoaded{candidates: candidates, ownWeight: ownWeight}
}

func (CurrentChoice) choice() {}
func (LeastLoaded) choice()   {}

// Shedding is an algorithm that decides which waiting requests are refused or served first under overload.
//
//sumtype:decl
type Shedding interface{ shedding() }

// FixedLimits bounds the length of the queue of each workspace and the time in the queue.
type FixedLimits struct{}

// ByDelay refuses requests that have waited for the target or longer once the queue of their urgency has been
// non-empty for longer than the interval.
type ByDelay struct{ target, interval time.Duration }

// NewByDelay returns shedding by queueing delay; target is the delay at which a request is refused.
func NewByDelay(target, interval time.Duration) ByDelay {
	return ByDelay{target: target, interval: interval}
}

// NewestFirst serves the newest request of a workspace first once the queue of its urgency has been non-empty for
// longer than the interval.
type NewestFirst struct{ interval time.Duration }

// NewNewestFirst returns shedding that serves the newest request first after an interval of overload.
func NewNewestFirst(interval time.Duration) NewestFirst { return NewestFirst{interval: interval} }

func (FixedLimits) shedding() {}
func (ByDelay) shedding()     {}
func (NewestFirst) shedding() {}

func choose(c Choice, s *fleet.Snapshot, random route.Random, excluded []string, now time.Time) (best fleet.Endpoint, ok bool) {
	switch c := c.(type) {
	case CurrentChoice:
		return route.Choose(s, random, excluded, now)
	case LeastLoaded:
		ready, start := s.Ready(), random.IntN(s.Len())
		if c.candidates == 0 {
			return c.leastLoaded(ready, start, excluded, now)
		}
		sample := make([]fleet.Endpoint, c.candidates)
		for i := range sample {
			sample[i] = ready[random.IntN(len(ready))]
		}
		if best, ok = c.leastLoaded(sample, 0, excluded, now); ok {
			return best, true
		}
		return c.leastLoaded(ready, start, excluded, now)
	}
	return fleet.Endpoint{}, false
}

// leastLoaded returns the endpoint with the lowest weighted load of those that are free, not excluded and not blocked
// by the quarantine; of several, the first from index start on.
func (l LeastLoaded) leastLoaded(list []fleet.Endpoint, start int, excluded []string, now time.Time) (best fleet.Endpoint, ok bool) {
	var lowest int64
	for i := range list {
		e := &list[(start+i)%len(list)]
		own, total := e.Load().OwnInFlight(), e.Load().InFlight()
		weighted := total + (l.ownWeight-1)*own
		free := (own == 0 || total < slots) && !slices.Contains(excluded, e.Name()) && !e.Load().Blocked(now)
		if free && (!ok || weighted < lowest) {
			best, lowest, ok = *e, weighted, true
		}
	}
	return best, ok
}
