package route_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/route"
)

// Guards against an endpoint that fails immediately and therefore looks idle and gets most requests, and against a rule
// that quarantines too many endpoints.
func TestQuarantine(t *testing.T) {
	rule := route.NewQuarantineRule(3, time.Second)
	t.Run("after the pause it gets one request at a time until one succeeds", func(t *testing.T) {
		s, random := snapshot(2), rand.New(rand.NewPCG(1, 2))
		bad := s.All()[0]
		record(rule, s, bad, start, route.Faulty, route.Faulty)
		assert.False(t, bad.Load().Quarantined())
		record(rule, s, bad, start, route.Faulty)
		assertChosen(t, s, random, "w0001")
		later := start.Add(time.Second)
		assert.False(t, bad.Load().Blocked(later))
		bad.Load().Begin()
		assert.True(t, bad.Load().Blocked(later))
		bad.Load().End()
		record(rule, s, bad, later, route.Healthy)
		assert.False(t, bad.Load().Quarantined())
	})
	t.Run("the pause doubles up to eight times the first one", func(t *testing.T) {
		s, now := snapshot(2), start
		bad := s.All()[0]
		record(rule, s, bad, now, route.Faulty, route.Faulty)
		for _, seconds := range []int{1, 2, 4, 8, 8} {
			record(rule, s, bad, now, route.Faulty)
			pause := time.Duration(seconds) * time.Second
			assert.True(t, bad.Load().Blocked(now.Add(pause-1)), seconds)
			now = now.Add(pause)
			assert.False(t, bad.Load().Blocked(now), seconds)
		}
	})
	t.Run("a success resets the count, and refusals of a full endpoint do not count", func(t *testing.T) {
		s := snapshot(2)
		record(rule, s, s.All()[0], start, route.Faulty, route.Faulty, route.Healthy, route.Faulty, route.Faulty)
		record(rule, s, s.All()[0], start, route.Full, route.Full, route.Inconclusive)
		assert.False(t, s.All()[0].Load().Quarantined())
	})
	t.Run("at most one in three is quarantined, never the only one", func(t *testing.T) {
		for n, want := range map[int]int{1: 0, 2: 1, 3: 1, 11: 4} {
			s, quarantined := snapshot(n), 0
			for _, e := range s.All() {
				record(rule, s, e, start, route.Faulty, route.Faulty, route.Faulty)
				if e.Load().Quarantined() {
					quarantined++
				}
			}
			assert.Equal(t, want, quarantined, n)
		}
	})
	t.Run("a quarantined endpoint is used if the others have left", func(t *testing.T) {
		s, random := snapshot(2), rand.New(rand.NewPCG(1, 2))
		record(rule, s, s.All()[0], start, route.Faulty, route.Faulty, route.Faulty)
		left := s.With(2, []fleet.Endpoint{s.All()[1].WithState(fleet.Leaving)}, nil)
		assertChosen(t, left, random, "w0000")
	})
	t.Run("zero failures turn the rule off", func(t *testing.T) {
		s := snapshot(2)
		record(route.NewQuarantineRule(0, 0), s, s.All()[0], start, route.Faulty, route.Faulty)
		assert.False(t, s.All()[0].Load().Quarantined())
	})
}

func record(rule route.QuarantineRule, s *fleet.Snapshot, e fleet.Endpoint, now time.Time, verdicts ...route.Verdict) {
	for _, v := range verdicts {
		rule.Record(s, e, v, now)
	}
}
