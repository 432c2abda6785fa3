package link_test

import (
	"context"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/link"
)

const (
	idleConnections = 200
	idleTime        = 5 * time.Second
)

// BenchmarkIdle measures an idle connection: the bytes of memory and the microcores that both its ends use together,
// which are in this process.
func BenchmarkIdle(b *testing.B) {
	f := newFixture(b, func(_ context.Context, s *link.Stream) { s.CloseWrite() })
	for b.Loop() {
		before, pools := heap(), make([]*link.Pool, idleConnections)
		for i := range pools {
			pools[i] = link.NewPool(f.client)
			s, err := pools[i].Open(b.Context(), f.address)
			require.NoError(b, err)
			s.Finish()
		}
		held, used := heap()-before, processorTime(b)
		time.Sleep(idleTime)
		used = processorTime(b) - used
		b.ReportMetric(float64(held)/idleConnections, "B/connection")
		b.ReportMetric(used.Seconds()/idleTime.Seconds()/idleConnections*1e6, "ucores/connection")
		for _, p := range pools {
			p.Close()
		}
	}
}

// heap returns the bytes of live heap and stacks after a garbage collection.
func heap() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc + s.StackInuse
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
