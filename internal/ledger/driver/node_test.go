package driver_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/ledger"
	"rosemarywind.example/rosemarywind/internal/ledger/driver"
	"rosemarywind.example/rosemarywind/internal/ledger/storage"
)

// Guards against a single member that does not become leader, or that loses changes in a restart.
func TestOneMember(t *testing.T) {
	folder := t.TempDir()
	t.Run("changes applied in order", func(t *testing.T) {
		m := startMember(t, folder, nil, "a")
		requireLeading(t, m)
		requireProposed(t, m, "one")
		requireProposed(t, m, "two")
		assert.Equal(t, []string{"one", "two"}, m.recorder.lines())
	})
	t.Run("changes recovered after a restart", func(t *testing.T) {
		m := startMember(t, folder, nil, "a")
		requireLeading(t, m)
		assert.Equal(t, []string{"one", "two"}, m.recorder.lines())
	})
	t.Run("snapshot replaces the log", func(t *testing.T) {
		m := startMember(t, folder, nil, "a", driver.WithSnapshotThreshold(2))
		requireLeading(t, m)
		for i := range 20 {
			requireProposed(t, m, fmt.Sprint(i))
		}
	})
	t.Run("snapshot recovered after a restart", func(t *testing.T) {
		m := startMember(t, folder, nil, "a")
		requireLeading(t, m)
		assert.Len(t, m.recorder.lines(), 22)
	})
	t.Run("transfer without another voter is refused", func(t *testing.T) {
		m := startMember(t, folder, nil, "a")
		requireLeading(t, m)
		var refused *driver.RefusedError
		require.ErrorAs(t, m.node.Transfer(t.Context()), &refused)
		assert.Equal(t, ledger.NoSuccessor, refused.Reason())
	})
}

// latest is an application that keeps the data applied last.
type latest struct{ data []byte }

func (a *latest) Apply(_ uint64, data []byte) int {
	a.data = data
	return len(data)
}

func (a *latest) Snapshot() ([]byte, error) { return a.data, nil }

func (a *latest) Restore(data []byte) error {
	a.data = data
	return nil
}

// folderBytes returns the size of all files in a folder.
func folderBytes(t *testing.T, folder string) (sum int64) {
	t.Helper()
	files, err := os.ReadDir(folder)
	require.NoError(t, err)
	for _, f := range files {
		if i, err := f.Info(); err == nil {
			sum += i.Size()
		}
	}
	return sum
}

// Guards against a disk and a memory that fill up with few large changes, such as configurations with many routes, long
// before their number makes a snapshot due.
func TestLargeChanges(t *testing.T) {
	const size, changes, maxBytes = 300 << 10, 200, 32 << 20
	folder := t.TempDir()
	disk, err := storage.OpenFolder(folder)
	require.NoError(t, err)
	s, saved, err := storage.Open(disk)
	require.NoError(t, err)
	app := &latest{}
	m := member{}
	m.node, err = driver.NewNode(app, driver.WithMember("a", "a"), driver.WithStorage(s, saved),
		driver.WithInitialMembers(map[ledger.MemberID]string{"a": "a"}))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- m.node.Run(ctx) }()
	requireLeading(t, m)
	most := int64(0)
	for i := range changes {
		_, err := m.node.Propose(t.Context(), bytes.Repeat([]byte{byte(i)}, size))
		require.NoError(t, err)
		most = max(most, folderBytes(t, folder))
	}
	cancel()
	require.NoError(t, <-ended)
	require.NoError(t, disk.Close())
	assert.Less(t, most, int64(maxBytes), "bytes on the disk")
	t.Run("all recovered", func(t *testing.T) {
		disk, err := storage.OpenFolder(folder)
		require.NoError(t, err)
		_, saved, err := storage.Open(disk)
		require.NoError(t, err)
		entries := saved.Entries()
		last := saved.Snapshot().Data()
		for _, e := range entries {
			if e.Kind() == ledger.Data {
				last = e.Data()
			}
		}
		assert.Equal(t, bytes.Repeat([]byte{changes - 1}, size), last)
		require.NoError(t, disk.Close())
	})
}

// recorder is an application that records the applied data.
type recorder struct {
	mutex   sync.Mutex
	applied []string
}

func (j *recorder) Apply(_ uint64, data []byte) int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.applied = append(j.applied, string(data))
	return len(j.applied)
}

func (j *recorder) Snapshot() ([]byte, error) { return json.Marshal(j.lines()) }

func (j *recorder) Restore(data []byte) error {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.applied = nil
	return json.Unmarshal(data, &j.applied)
}

func (j *recorder) lines() []string {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return slices.Clone(j.applied)
}

type member struct {
	node     *driver.Node[int]
	recorder *recorder
	stop     func()
}

// startMember runs a member until the test ends or stop is called. Its address equals its id.
func startMember(t testing.TB, folder string, n *network, id ledger.MemberID, opts ...driver.Option) member {
	t.Helper()
	disk, err := storage.OpenFolder(folder)
	require.NoError(t, err)
	s, saved, err := storage.Open(disk)
	require.NoError(t, err)
	m := member{recorder: &recorder{}}
	all := []driver.Option{
		driver.WithMember(id, string(id)),
		driver.WithInitialMembers(map[ledger.MemberID]string{id: string(id)}),
		driver.WithStorage(s, saved),
	}
	if n != nil {
		all = append(all, driver.WithTransport(n.port(string(id))))
	}
	m.node, err = driver.NewNode(m.recorder, append(all, opts...)...)
	require.NoError(t, err)
	if n != nil {
		n.attach(string(id), m.node)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- m.node.Run(ctx) }()
	m.stop = sync.OnceFunc(func() {
		cancel()
		assert.NoError(t, <-ended)
		assert.NoError(t, disk.Close())
	})
	t.Cleanup(m.stop)
	return m
}

func requireLeading(t testing.TB, m member) {
	t.Helper()
	requireStatus(t, m, func(s driver.Status) bool { return s.Ready(time.Now()) })
}

func requireStatus(t testing.TB, m member, condition func(driver.Status) bool) {
	t.Helper()
	deadline := time.After(20 * time.Second)
	for {
		s, changed := m.node.Status().Watch()
		if condition(s) {
			return
		}
		select {
		case <-changed:
		case <-deadline:
			require.Failf(t, "condition not met", "status %+v", s)
		}
	}
}

func requireProposed(t testing.TB, m member, line string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := m.node.Propose(ctx, []byte(line))
	require.NoError(t, err)
}
