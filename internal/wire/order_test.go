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

// Guards against an order that loses a field when it is encoded and decoded, such as the mark that bounds a lease.
func TestOrders(t *testing.T) {
	id := task.NewID("j", 3)
	t.Run("reserve", func(t *testing.T) { assertRoundTrip(t, task.NewReserve(id, 7, 8, 4, time.Minute, "sleep 1s")) })
	t.Run("reserve for a watched gang", func(t *testing.T) {
		assertRoundTrip(t, task.NewReserve(id, 7, 8, 4, time.Minute, "").WithWatch(task.NewGangWatch("10.0.0.1:7400", 3)))
	})
	t.Run("start", func(t *testing.T) { assertRoundTrip(t, task.NewStart(id, 7)) })
	t.Run("renew", func(t *testing.T) { assertRoundTrip(t, task.NewRenew(id, 7, 9, 8, time.Minute)) })
	t.Run("stop", func(t *testing.T) { assertRoundTrip(t, task.NewStop(id, 7, true)) })
	t.Run("throttle", func(t *testing.T) { assertRoundTrip(t, task.NewThrottle(id, 7, 9, 50)) })
	t.Run("several orders", func(t *testing.T) { assertRoundTrip(t, task.NewStart(id, 1), task.NewStop(id, 2, false)) })
	t.Run("number of replies differs", func(t *testing.T) {
		var b bytes.Buffer
		require.NoError(t, wire.WriteReplies(&b, []task.Reply{task.NewReply(task.Accepted, "")}))
		_, err := wire.ReadReplies(&b, 2)
		assert.ErrorContains(t, err, "1 replies to 2 orders")
	})
}

// Guards against pings so large that an agent which receives 31 pings per second exceeds its budget of 5 KB/s.
func TestPing(t *testing.T) {
	var b bytes.Buffer
	want := task.NewPing(task.NewReport(task.NewID("j-ABCDEFGHIJKLMNOPQRSTUVWXYZ", 31), 1<<40, task.Succeeded), 32)
	require.NoError(t, wire.WritePing(&b, want))
	t.Logf("a ping has %d bytes", b.Len())
	assert.LessOrEqual(t, b.Len(), 80)
	got, err := wire.ReadPing(&b)
	require.NoError(t, err)
	assert.Equal(t, want, got)
	require.NoError(t, wire.WriteVerdict(&b, task.Broken))
	v, err := wire.ReadVerdict(&b)
	require.NoError(t, err)
	assert.Equal(t, task.Broken, v)
}

func assertRoundTrip(t *testing.T, orders ...task.Order) {
	t.Helper()
	var b bytes.Buffer
	require.NoError(t, wire.WriteOrders(&b, orders))
	got, err := wire.ReadOrders(&b)
	require.NoError(t, err)
	assert.Equal(t, orders, got)
}
