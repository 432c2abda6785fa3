package route_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/route"
)

// Guards against retries that increase with the load, and against retries after full endpoints that use up the budget
// for failures.
func TestBudget(t *testing.T) {
	t.Run("failures allow the configured share", func(t *testing.T) { assertRetries(t, 10, route.Faulty, 7) })
	t.Run("full endpoints allow half of the requests", func(t *testing.T) { assertRetries(t, 10, route.Full, 31) })
	t.Run("a share of zero allows only retries after full endpoints", func(t *testing.T) {
		for _, v := range []route.Verdict{route.Healthy, route.Faulty, route.Inconclusive} {
			assertRetries(t, 0, v, 0)
		}
		assertRetries(t, 0, route.Full, 31)
	})
	t.Run("the two shares are independent", func(t *testing.T) {
		b := route.NewRetryBudget(10)
		for b.TryWithdraw(route.Full) {
		}
		assert.True(t, b.TryWithdraw(route.Faulty))
		assert.False(t, b.TryWithdraw(route.Faulty))
	})
}

// assertRetries checks the number of retries that are allowed after 60 requests. One of them is allowed without any
// request.
func assertRetries(t *testing.T, sharePercent int, v route.Verdict, want int) {
	t.Helper()
	b := route.NewRetryBudget(sharePercent)
	for range 60 {
		b.Deposit()
	}
	got := 0
	for b.TryWithdraw(v) {
		got++
	}
	assert.Equal(t, want, got)
}
