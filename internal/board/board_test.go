package board_test

import (
	"maps"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/board"
)

// Guards against a watcher that misses the latest value or reads an older value after a newer one. A watcher may skip
// the values between.
func TestSection(t *testing.T) {
	t.Run("a watcher is notified of the next publication", func(t *testing.T) {
		s := board.NewSection("a")
		value, changed := s.Watch()
		requireOpen(t, changed)
		s.Publish("b")
		requireClosed(t, changed)
		assert.Equal(t, "a", value)
		assert.Equal(t, "b", s.Load())
		assert.Equal(t, uint64(1), s.Version())
	})
	t.Run("readers never see an older value again", func(t *testing.T) {
		s := board.NewSection(0)
		var g sync.WaitGroup
		for range 4 {
			g.Go(func() { assertMonotonic(t, s, 1000) })
		}
		for i := range 1000 {
			s.Publish(i + 1)
		}
		g.Wait()
	})
}

// Guards against a change of a table that also changes the table it was made from.
func TestTable(t *testing.T) {
	t.Run("earlier tables do not change", func(t *testing.T) {
		one := board.NewTable[int]().With("a", 1)
		two := one.With("a", 2).With("b", 3)
		three := two.Without("a").Without("missing")
		assertEntries(t, one, map[string]int{"a": 1})
		assertEntries(t, two, map[string]int{"a": 2, "b": 3})
		assertEntries(t, three, map[string]int{"b": 3})
	})
	t.Run("a filter keeps matching entries only", func(t *testing.T) {
		all := board.Collect(maps.All(map[string]int{"a": 1, "b": 2, "c": 3}))
		odd := all.Filter(func(_ string, v int) bool { return v%2 == 1 })
		assertEntries(t, all, map[string]int{"a": 1, "b": 2, "c": 3})
		assertEntries(t, odd, map[string]int{"a": 1, "c": 3})
		assertEntries(t, odd.Filter(func(string, int) bool { return false }).With("d", 4), map[string]int{"d": 4})
	})
}

func assertEntries(t *testing.T, table board.Table[int], want map[string]int) {
	t.Helper()
	got := map[string]int{}
	for k, v := range table.All() {
		got[k] = v
	}
	assert.Equal(t, want, got)
	assert.Equal(t, len(want), table.Len())
}

func assertMonotonic(t *testing.T, s *board.Section[int], last int) {
	seen := 0
	for seen < last {
		value, changed := s.Watch()
		if !assert.GreaterOrEqual(t, value, seen) {
			return
		}
		seen = value
		if seen < last {
			<-changed
		}
	}
}

func requireOpen(t *testing.T, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
		require.Fail(t, "channel is closed")
	default:
	}
}

func requireClosed(t *testing.T, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	default:
		require.Fail(t, "channel is open")
	}
}
