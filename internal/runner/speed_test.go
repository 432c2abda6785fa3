package runner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// renewalWithSpeed returns the order of a leader that tells a speed.
func renewalWithSpeed(incarnation batch.Incarnation, token uint64, logarithm float64) orderInput {
	o := run.NewRenewLease(incarnation, time.Minute, 0, false).WithSpeed(run.NewSpeed(incarnation, logarithm, 0.2, 5, time.Second))
	return orderInput{envelope: run.NewEnvelope(token, o)}
}

// assertHeld asserts the speed that an agent passes to the next leader three seconds after it was told.
func assertHeld(t *testing.T, l *loop, logarithm float64) {
	t.Helper()
	s, ok := l.speed.Load().withSpeed(epoch.Add(3*time.Second), run.NewReport("h")).Speed()
	assert.True(t, ok)
	assert.InDelta(t, logarithm, s.Logarithm(), 1e-9)
	assert.Equal(t, 4*time.Second, s.Age())
}

// Guards against speeds that the next leader does not get, or gets as if they had just been observed.
func TestHeldSpeed(t *testing.T) {
	l := newTestLoop(first)
	_, ok := l.speed.Load().withSpeed(epoch, run.NewReport("h")).Speed()
	assert.False(t, ok)
	l.handle(t.Context(), epoch, renewalWithSpeed(first, 2, -0.5))
	assertHeld(t, l, -0.5)
	t.Run("kept if a later order tells none", func(t *testing.T) {
		l.handle(t.Context(), epoch, renewal(first, 2, 0))
		assertHeld(t, l, -0.5)
	})
	t.Run("not from an earlier leader", func(t *testing.T) {
		l.handle(t.Context(), epoch, renewalWithSpeed(first, 1, 0.5))
		assertHeld(t, l, -0.5)
	})
}
