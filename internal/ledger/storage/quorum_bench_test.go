package storage_test

import (
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
)

// BenchmarkQuorum compares the latency of a write that waits for a majority of three replicas with one that waits for
// all of them. Each replica appends 300 B to its own file and syncs it.
func BenchmarkQuorum(b *testing.B) {
	const replicas = 3
	var write [replicas]chan []byte
	written := make(chan time.Time, replicas)
	for i := range write {
		f, err := os.Create(filepath.Join(b.TempDir(), strconv.Itoa(i)))
		require.NoError(b, err)
		write[i] = make(chan []byte)
		go func() {
			defer func() { _ = f.Close() }()
			for data := range write[i] {
				_, _ = f.Write(data)
				_ = f.Sync()
				written <- time.Now()
			}
		}()
		defer close(write[i])
	}
	majority, all := hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)
	data := make([]byte, 300)
	for b.Loop() {
		start := time.Now()
		for _, w := range write {
			w <- data
		}
		<-written
		second, third := <-written, <-written
		_ = majority.RecordValue(second.Sub(start).Microseconds())
		_ = all.RecordValue(third.Sub(start).Microseconds())
	}
	for _, h := range []struct {
		name string
		*hdrhistogram.Histogram
	}{{"majority", majority}, {"all", all}} {
		b.ReportMetric(float64(h.ValueAtQuantile(50)), h.name+"-p50-us")
		b.ReportMetric(float64(h.ValueAtQuantile(99)), h.name+"-p99-us")
		b.ReportMetric(float64(h.Max()), h.name+"-max-us")
	}
}
