package driver_test

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/ledger"
	"rosemarywind.example/rosemarywind/internal/ledger/driver"
	"rosemarywind.example/rosemarywind/internal/ledger/storage"
)

// changeBytes is the size of a configuration change that the design page assumes.
const changeBytes = 300

var payload = string(bytes.Repeat([]byte{'x'}, changeBytes))

// BenchmarkChanges reports the committed changes per second of 256 concurrent callers, on three replicas with real
// syncs.
func BenchmarkChanges(b *testing.B) {
	c := startCluster(b, 3)
	m := c.members[c.requireLeader(b)]
	b.SetParallelism(256 / runtime.GOMAXPROCS(0))
	b.ResetTimer()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			requireProposed(b, m, payload)
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "changes/s")
}

// BenchmarkCommit reports the latency of a single commit on three replicas, and its ratio to one sync of the same disk.
func BenchmarkCommit(b *testing.B) {
	c := startCluster(b, 3)
	m := c.members[c.requireLeader(b)]
	f, err := os.Create(filepath.Join(b.TempDir(), "sync"))
	require.NoError(b, err)
	var syncs time.Duration
	b.ResetTimer()
	for range b.N {
		requireProposed(b, m, payload)
		b.StopTimer()
		begin := time.Now()
		_, err := f.WriteString(payload)
		require.NoError(b, errors.Join(err, f.Sync()))
		syncs += time.Since(begin)
		b.StartTimer()
	}
	b.StopTimer()
	b.ReportMetric(float64(syncs.Microseconds())/float64(b.N), "sync-us")
	b.ReportMetric(float64(b.Elapsed())/float64(syncs), "commit/sync")
	require.NoError(b, f.Close())
}

// BenchmarkRecovery reports the time from opening a disk with 24,000 changes until all are applied.
func BenchmarkRecovery(b *testing.B) {
	folder := b.TempDir()
	writeChanges(b, folder, 24_000)
	for b.Loop() {
		m := startMember(b, folder, nil, "a", driver.WithSnapshotThreshold(1<<40), driver.WithSnapshotBytes(1<<40))
		requireLeading(b, m)
		require.GreaterOrEqual(b, len(m.recorder.lines()), 24_000)
		b.StopTimer()
		m.stop()
		b.StartTimer()
	}
}

// BenchmarkLeaderLost reports the time from the stop of the leader to the next commit.
func BenchmarkLeaderLost(b *testing.B) {
	c := startCluster(b, 3)
	var worst, sum time.Duration
	for b.Loop() {
		lost := c.requireLeader(b)
		b.StopTimer()
		requireProposed(b, c.members[lost], payload)
		c.members[lost].stop()
		stopped := c.members[lost]
		delete(c.members, lost)
		b.StartTimer()
		begin := time.Now()
		requireProposed(b, c.members[c.requireLeader(b)], payload)
		took := time.Since(begin)
		b.StopTimer()
		worst, sum = max(worst, took), sum+took
		c.members[lost] = stopped
		c.start(b, lost)
		requireStatus(b, c.members[lost], func(s driver.Status) bool { return s.Leader() != "" })
		b.StartTimer()
	}
	b.ReportMetric(worst.Seconds(), "worst-s")
	b.ReportMetric(sum.Seconds()/float64(b.N), "mean-s")
}

// writeChanges initializes the disk of a single member and saves changes with one sync each, as sparse traffic does.
func writeChanges(b *testing.B, folder string, count uint64) {
	b.Helper()
	disk, err := storage.OpenFolder(folder)
	require.NoError(b, err)
	s, _, err := storage.Open(disk)
	require.NoError(b, err)
	hardState := ledger.NewHardState("a", 1, "a")
	initial := ledger.NewSnapshot(0, 0, ledger.NewMembership(ledger.NewMember("a", "a", true)), nil)
	require.NoError(b, s.Save([]ledger.Persist{ledger.NewPersist(hardState, &initial, nil)}))
	for i := range count {
		entries := []ledger.Entry{ledger.NewEntry(i+1, 1, ledger.Data, []byte(payload))}
		require.NoError(b, s.Save([]ledger.Persist{ledger.NewPersist(hardState, nil, entries)}))
	}
	require.NoError(b, errors.Join(s.Close(), disk.Close()))
}
