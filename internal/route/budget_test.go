package route_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/route"
)

// Guards against retries that grow with the load, and against full endpoints that use up the share of lost requests.
func TestBudget(t *testing.T) {
	t.Run("failures have the declared share", func(t *testing.T) { assertSpends(t, 10, route.Faulty, 7) })
	t.Run("full endpoints have half of the requests", func(t *testing.T) { assertSpends(t, 10, route.Full, 31) })
	t.Run("a share of none leaves moves from full endpoints", func(t *testing.T) {
		for _, v := range []route.Verdict{route.Sound, route.Faulty, route.Unclear} {
			assertSpends(t, 0, v, 0)
		}
		assertSpends(t, 0, route.Full, 31)
	})
	t.Run("neither takes from the other", func(t *testing.T) {
		b := route.NewBudget(10)
		for b.Spend(route.Full) {
		}
		assert.True(t, b.Spend(route.Faulty))
		assert.False(t, b.Spend(route.Faulty))
	})
}

// assertSpends counts the retries of 60 requests; one is allowed before the first request.
func assertSpends(t *testing.T, sharePercent int, v route.Verdict, want int) {
	t.Helper()
	b := route.NewBudget(sharePercent)
	for range 60 {
		b.Earn()
	}
	got := 0
	for b.Spend(v) {
		got++
	}
	assert.Equal(t, want, got)
}
