package clock_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/clock"
)

// Guards against leases that are counted by a clock that goes back or at another rate. Suspended time cannot be had in a
// test.
func TestNow(t *testing.T) {
	first, begun := clock.Now(), time.Now()
	time.Sleep(50 * time.Millisecond)
	second, passed := clock.Now(), time.Since(begun)
	assert.InDelta(t, passed.Seconds(), second.Sub(first).Seconds(), 0.02)
	for range 1000 {
		next := clock.Now()
		assert.False(t, next.Before(second))
		second = next
	}
}
