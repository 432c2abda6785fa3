package driver_test

import (
	"context"
	"encoding/json"
	"fmt"
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
