package storage_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/ledger"
	"rosemarywind.example/rosemarywind/internal/ledger/storage"
)

// Guards against a recovery that loses synced writes, keeps torn ones or does not detect damage.
func TestRecovery(t *testing.T) {
	t.Run("empty disk has no identity", func(t *testing.T) {
		_, saved := requireOpen(t, newFakeDisk())
		assert.Empty(t, saved.HardState().Identity())
	})
	t.Run("synced writes are recovered", func(t *testing.T) {
		d := newFakeDisk()
		s := requireBootstrapped(t, d)
		require.NoError(t, s.Save([]ledger.Persist{newWrite(3, newEntry(1, 2), newEntry(2, 2)), newWrite(4, newEntry(2, 4))}))
		assertSaved(t, d, 4, 1, newEntry(1, 2), newEntry(2, 4))
	})
	t.Run("one sync for several writes", func(t *testing.T) {
		d := newFakeDisk()
		s := requireBootstrapped(t, d)
		before := d.syncs
		require.NoError(t, s.Save([]ledger.Persist{
			newWrite(1, newEntry(1, 1)), newWrite(1, newEntry(2, 1)), newWrite(1, newEntry(3, 1)),
		}))
		assert.Equal(t, 1, d.syncs-before)
	})
	t.Run("last frame torn at any byte is truncated", func(t *testing.T) {
		content := requireWritten(t, newFakeDisk(), 3)
		for cut := 1; cut < 60; cut++ {
			d := newFakeDisk()
			requireWritten(t, d, 3)
			f := d.files[logFile(d)]
			f.data = f.data[:len(content)-cut]
			assertSaved(t, d, 2, 1, newEntry(1, 1), newEntry(2, 2))
			s, _ := requireOpen(t, d)
			require.NoError(t, s.Save([]ledger.Persist{newWrite(5, newEntry(3, 5))}))
			assertSaved(t, d, 5, 1, newEntry(1, 1), newEntry(2, 2), newEntry(3, 5))
		}
	})
	t.Run("frame damaged before the last one is refused at any offset", func(t *testing.T) {
		content := requireWritten(t, newFakeDisk(), 3)
		for at := 0; at < len(content)/2; at += 7 {
			d := newFakeDisk()
			requireWritten(t, d, 3)
			d.files[logFile(d)].data[at] ^= 0x20
			requireDamage(t, d, logFile(d), at)
		}
	})
	t.Run("damaged snapshot is refused", func(t *testing.T) {
		d := newFakeDisk()
		requireWritten(t, d, 1)
		name := strings.Replace(logFile(d), "log-", "snapshot-", 1)
		d.files[name].data[30] ^= 1
		requireDamage(t, d, name, 0)
	})
	t.Run("store refuses writes after a failed sync", func(t *testing.T) {
		d := newFakeDisk()
		s := requireBootstrapped(t, d)
		d.failingSync = d.syncs + 1
		for range 2 {
			var fatal *storage.FatalError
			require.ErrorAs(t, s.Save([]ledger.Persist{newWrite(2)}), &fatal)
			require.ErrorIs(t, fatal, errSync)
		}
	})
	t.Run("crash during a snapshot leaves the old or the new state", func(t *testing.T) {
		for seed := range uint64(200) {
			d := newFakeDisk()
			s := requireBootstrapped(t, d)
			require.NoError(t, s.Save([]ledger.Persist{newWrite(1, newEntry(1, 1), newEntry(2, 1), newEntry(3, 1))}))
			requireInterrupted(t, d, s, seed)
		}
	})
	t.Run("power loss after a crash during a snapshot loses nothing", func(t *testing.T) {
		for seed := range uint64(200) {
			d := newFakeDisk()
			s := requireBootstrapped(t, d)
			d.failingSync = d.syncs + 1 + int(seed%5)
			_ = s.Save([]ledger.Persist{ledger.NewPersist(ledger.NewHardState("a", 2, "b"), newSnapshot(0), nil)})
			d.failingSync = 0
			s, _ = requireOpen(t, d)
			require.NoError(t, s.Save([]ledger.Persist{newWrite(3, newEntry(1, 3))}))
			d.crash(rand.New(rand.NewPCG(seed, 0)))
			assertSaved(t, d, 3, 1, newEntry(1, 3))
		}
	})
}

// Guards against two processes that write to one data folder.
func TestFolderLock(t *testing.T) {
	path := t.TempDir()
	first, err := storage.OpenFolder(path)
	require.NoError(t, err)
	_, err = storage.OpenFolder(path)
	require.ErrorContains(t, err, "another process uses it")
	require.NoError(t, first.Close())
	second, err := storage.OpenFolder(path)
	require.NoError(t, err)
	require.NoError(t, second.Close())
}

func newEntry(index, term uint64) ledger.Entry {
	return ledger.NewEntry(index, term, ledger.Data, fmt.Appendf(nil, "entry %d of %d", index, term))
}

func newWrite(term uint64, entries ...ledger.Entry) ledger.Persist {
	return ledger.NewPersist(ledger.NewHardState("a", term, "b"), nil, entries)
}

func newSnapshot(index uint64) *ledger.Snapshot {
	s := ledger.NewSnapshot(index, 1, ledger.NewMembership(ledger.NewMember("a", "host", true)), []byte("state"))
	return &s
}

func requireOpen(t *testing.T, d *fakeDisk) (*storage.Store, ledger.PersistentState) {
	t.Helper()
	s, saved, err := storage.Open(d)
	require.NoError(t, err)
	return s, saved
}

func requireBootstrapped(t *testing.T, d *fakeDisk) *storage.Store {
	t.Helper()
	s, _ := requireOpen(t, d)
	require.NoError(t, s.Save([]ledger.Persist{ledger.NewPersist(ledger.NewHardState("a", 0, ""), newSnapshot(0), nil)}))
	return s
}

// requireWritten writes count entries with one sync each and returns the content of the log file.
func requireWritten(t *testing.T, d *fakeDisk, count uint64) []byte {
	t.Helper()
	s := requireBootstrapped(t, d)
	for i := range count {
		require.NoError(t, s.Save([]ledger.Persist{newWrite(i+1, newEntry(i+1, i+1))}))
	}
	return slices.Clone(d.files[logFile(d)].data)
}

func logFile(d *fakeDisk) string {
	for n := range d.files {
		if strings.HasPrefix(n, "log-") {
			return n
		}
	}
	return ""
}

func assertSaved(t *testing.T, d *fakeDisk, term uint64, snapshotTerm uint64, entries ...ledger.Entry) {
	t.Helper()
	_, saved := requireOpen(t, d)
	assert.Equal(t, ledger.NewHardState("a", term, "b"), saved.HardState())
	assert.Equal(t, snapshotTerm, saved.Snapshot().Term())
	assert.Equal(t, entries, saved.Entries())
}

func requireDamage(t *testing.T, d *fakeDisk, file string, at int) {
	t.Helper()
	_, _, err := storage.Open(d)
	var damage *storage.DamageError
	require.ErrorAs(t, err, &damage)
	assert.Equal(t, file, damage.File())
	assert.LessOrEqual(t, damage.Offset(), int64(at))
	assert.ErrorContains(t, err, fmt.Sprintf("file %s is damaged at offset %d", file, damage.Offset()))
}

// requireInterrupted crashes the disk at a random sync of a snapshot that contradicts the log, and requires that the
// old or the new state is recovered.
func requireInterrupted(t *testing.T, d *fakeDisk, s *storage.Store, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 0))
	d.failingSync = d.syncs + 1 + random.IntN(5)
	hard := ledger.NewHardState("a", 2, "b")
	err := s.Save([]ledger.Persist{ledger.NewPersist(hard, newSnapshot(2), []ledger.Entry{newEntry(3, 2)})})
	d.crash(random)
	_, saved := requireOpen(t, d)
	if saved.Snapshot().Index() == 2 {
		assert.Equal(t, []ledger.Entry{newEntry(3, 2)}, saved.Entries())
		return
	}
	require.Error(t, err)
	assert.Equal(t, []ledger.Entry{newEntry(1, 1), newEntry(2, 1), newEntry(3, 1)}, saved.Entries())
}
