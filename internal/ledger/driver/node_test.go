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

// Guards against a ledger of one member that does not serve or forgets at a restart.
func TestOneMember(t *testing.T) {
	folder := t.TempDir()
	t.Run("changes are applied in order", func(t *testing.T) {
		m := startMember(t, folder, nil, "a")
		requireLeading(t, m)
		requireProposed(t, m, "one")
		requireProposed(t, m, "two")
		assert.Equal(t, []string{"one", "two"}, m.journal.lines())
	})
	t.Run("a restart has them again", func(t *testing.T) {
		m := startMember(t, folder, nil, "a")
		requireLeading(t, m)
		assert.Equal(t, []string{"one", "two"}, m.journal.lines())
	})
	t.Run("a snapshot replaces the log", func(t *testing.T) {
		m := startMember(t, folder, nil, "a", driver.WithSnapshotThreshold(2))
		requireLeading(t, m)
		for i := range 20 {
			requireProposed(t, m, fmt.Sprint(i))
		}
	})
	t.Run("a restart has the snapshot", func(t *testing.T) {
		m := startMember(t, folder, nil, "a")
		requireLeading(t, m)
		assert.Len(t, m.journal.lines(), 22)
	})
	t.Run("nobody can take over", func(t *testing.T) {
		m := startMember(t, folder, nil, "a")
		requireLeading(t, m)
		var refused *driver.RefusedError
		require.ErrorAs(t, m.node.Transfer(t.Context()), &refused)
		assert.Equal(t, ledger.NoSuccessor, refused.Reason())
	})
}

// journal is an application that keeps what was applied.
type journal struct {
	mutex   sync.Mutex
	applied []string
}

func (j *journal) Apply(_ uint64, data []byte) int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.applied = append(j.applied, string(data))
	return len(j.applied)
}

func (j *journal) Snapshot() ([]byte, error) { return json.Marshal(j.lines()) }

func (j *journal) Restore(data []byte) error {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.applied = nil
	return json.Unmarshal(data, &j.applied)
}

func (j *journal) lines() []string {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return slices.Clone(j.applied)
}

type member struct {
	node    *driver.Node[int]
	journal *journal
	stop    func()
}

// startMember runs a member until the test ends or stop is called; its address is its id.
func startMember(t testing.TB, folder string, n *network, id ledger.MemberID, opts ...driver.Option) member {
	t.Helper()
	disk, err := storage.OpenFolder(folder)
	require.NoError(t, err)
	s, saved, err := storage.Open(disk)
	require.NoError(t, err)
	m := member{journal: &journal{}}
	all := []driver.Option{
		driver.WithMember(id, string(id)),
		driver.WithInitialMembers(map[ledger.MemberID]string{id: string(id)}),
		driver.WithStorage(s, saved),
	}
	if n != nil {
		all = append(all, driver.WithTransport(n.port(string(id))))
	}
	m.node, err = driver.NewNode(m.journal, append(all, opts...)...)
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
