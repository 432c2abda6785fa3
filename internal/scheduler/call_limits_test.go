package scheduler

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/intake"
)

// readCall reads a call of the given size, and returns it with the refusal, if any.
func readCall(t *testing.T, l callLimits, size int) (c *limitedCall, refusal *intake.Refusal) {
	t.Helper()
	c = l.begin(t.Context(), iotest.HalfReader(bytes.NewReader(make([]byte, size))))
	data, err := io.ReadAll(c)
	if refusal = intake.RefusalOf(err); refusal == nil {
		require.NoError(t, err)
		require.Len(t, data, size)
	}
	return c, refusal
}

// Guards against a leader that holds as many calls as all hosts forward at once.
func TestCallLimits(t *testing.T) {
	t.Run("small calls", func(t *testing.T) {
		l := newCallLimits(1 << 20)
		var held []*limitedCall
		for {
			c, refusal := readCall(t, l, 10_000)
			if refusal != nil {
				c.release()
				break
			}
			held = append(held, c)
		}
		assert.Len(t, held, 1<<20/10_000)
		for _, c := range held {
			c.release()
		}
		assert.Zero(t, l.budget.Held())
		_, refusal := readCall(t, l, 10_000)
		assert.Nil(t, refusal)
	})
	t.Run("large calls wait for their turn", func(t *testing.T) {
		l := newCallLimits(2 * largeCallBytes)
		first, refusal := readCall(t, l, largeCallBytes)
		require.Nil(t, refusal)
		second, refusal := readCall(t, l, largeCallBytes)
		require.Nil(t, refusal)
		third, refusal := readCall(t, l, largeCallBytes)
		assert.NotNil(t, refusal)
		third.release()
		small, refusal := readCall(t, l, 10_000)
		assert.Nil(t, refusal, "a small call waits behind large ones")
		small.release()
		first.release()
		fourth, refusal := readCall(t, l, largeCallBytes)
		assert.Nil(t, refusal)
		fourth.release()
		second.release()
		assert.Zero(t, l.budget.Held())
	})
	t.Run("the largest declarations of eight operators in turn", func(t *testing.T) {
		l := newCallLimits(25 << 20)
		for range 8 {
			c, refusal := readCall(t, l, largeCallBytes)
			assert.Nil(t, refusal)
			c.release()
		}
	})
}
