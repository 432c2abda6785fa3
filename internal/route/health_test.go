package route_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/route"
)

// Guards against an endpoint that fails at once and gets requests, and against rules that take away too many endpoints.
func TestHealth(t *testing.T) {
	h := route.NewHealth(3, time.Second)
	t.Run("failures in a row, then one request at a time", func(t *testing.T) {
		s, random := snapshot(2), rand.New(rand.NewPCG(1, 2))
		bad := s.All()[0]
		record(h, s, bad, start, route.Faulty, route.Faulty)
		assert.False(t, bad.Load().Quarantined())
		record(h, s, bad, start, route.Faulty)
		assertChosen(t, s, random, "w0001")
		later := start.Add(time.Second)
		assert.False(t, bad.Load().Blocked(later))
		bad.Load().Begin()
		assert.True(t, bad.Load().Blocked(later))
		bad.Load().End()
		record(h, s, bad, later, route.Sound)
		assert.False(t, bad.Load().Quarantined())
	})
	t.Run("a pause that doubles up to eight times", func(t *testing.T) {
		s, now := snapshot(2), start
		bad := s.All()[0]
		record(h, s, bad, now, route.Faulty, route.Faulty)
		for _, seconds := range []int{1, 2, 4, 8, 8} {
			record(h, s, bad, now, route.Faulty)
			pause := time.Duration(seconds) * time.Second
			assert.True(t, bad.Load().Blocked(now.Add(pause-1)), seconds)
			now = now.Add(pause)
			assert.False(t, bad.Load().Blocked(now), seconds)
		}
	})
	t.Run("a success between failures, and refusals of a full endpoint", func(t *testing.T) {
		s := snapshot(2)
		record(h, s, s.All()[0], start, route.Faulty, route.Faulty, route.Sound, route.Faulty, route.Faulty)
		record(h, s, s.All()[0], start, route.Full, route.Full, route.Unclear)
		assert.False(t, s.All()[0].Load().Quarantined())
	})
	t.Run("at most one in three, never the only one", func(t *testing.T) {
		for n, want := range map[int]int{1: 0, 2: 1, 3: 1, 11: 4} {
			s, aside := snapshot(n), 0
			for _, e := range s.All() {
				record(h, s, e, start, route.Faulty, route.Faulty, route.Faulty)
				if e.Load().Quarantined() {
					aside++
				}
			}
			assert.Equal(t, want, aside, n)
		}
	})
	t.Run("the others have left", func(t *testing.T) {
		s, random := snapshot(2), rand.New(rand.NewPCG(1, 2))
		record(h, s, s.All()[0], start, route.Faulty, route.Faulty, route.Faulty)
		left := s.With(2, []fleet.Endpoint{s.All()[1].WithState(fleet.Leaving)}, nil)
		assertChosen(t, left, random, "w0000")
	})
	t.Run("turned off", func(t *testing.T) {
		s := snapshot(2)
		record(route.NewHealth(0, 0), s, s.All()[0], start, route.Faulty, route.Faulty)
		assert.False(t, s.All()[0].Load().Quarantined())
	})
}

func record(h route.Health, s *fleet.Snapshot, e fleet.Endpoint, now time.Time, verdicts ...route.Verdict) {
	for _, v := range verdicts {
		h.Record(s, e, v, now)
	}
}
