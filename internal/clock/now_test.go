package clock_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/clock"
)

// Guards against leases on a clock that goes backwards or runs at a wrong rate. A test cannot suspend the host, so
// suspended time is not covered.
func TestNow(t *testing.T) {
	first, startedAt := clock.Now(), time.Now()
	time.Sleep(50 * time.Millisecond)
	second, elapsed := clock.Now(), time.Since(startedAt)
	assert.InDelta(t, elapsed.Seconds(), second.Sub(first).Seconds(), 0.02)
	for range 1000 {
		next := clock.Now()
		assert.False(t, next.Before(second))
		second = next
	}
}
