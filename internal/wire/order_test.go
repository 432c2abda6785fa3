package wire_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/task"
	"rosemarywind.example/rosemarywind/internal/wire"
)

// TestOrders guards against an order that loses a field on its way, such as the mark that bounds a lease.
func TestOrders(t *testing.T) {
	id := task.NewID("j", 3)
	t.Run("reserve", func(t *testing.T) { assertCarried(t, task.NewReserve(id, 7, 8, 4, time.Minute, "sleep 1s")) })
	t.Run("start", func(t *testing.T) { assertCarried(t, task.NewStart(id, 7)) })
	t.Run("renew", func(t *testing.T) { assertCarried(t, task.NewRenew(id, 7, 9, 8, time.Minute)) })
	t.Run("stop", func(t *testing.T) { assertCarried(t, task.NewStop(id, 7, true)) })
	t.Run("throttle", func(t *testing.T) { assertCarried(t, task.NewThrottle(id, 7, 50)) })
	t.Run("a batch", func(t *testing.T) { assertCarried(t, task.NewStart(id, 1), task.NewStop(id, 2, false)) })
	t.Run("the number of replies must fit", func(t *testing.T) {
		var b bytes.Buffer
		require.NoError(t, wire.WriteReplies(&b, []task.Reply{task.NewReply(task.Accepted, "")}))
		_, err := wire.ReadReplies(&b, 2)
		assert.ErrorContains(t, err, "1 replies to 2 orders")
	})
}

func assertCarried(t *testing.T, orders ...task.Order) {
	t.Helper()
	var b bytes.Buffer
	require.NoError(t, wire.WriteOrders(&b, orders))
	got, err := wire.ReadOrders(&b)
	require.NoError(t, err)
	assert.Equal(t, orders, got)
}
