package driver_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/ledger"
	"rosemarywind.example/rosemarywind/internal/ledger/driver"
)

// Guards against three members that do not elect a leader, do not replace an isolated one, or lose a change in a
// leadership transfer.
func TestThreeMembers(t *testing.T) {
	c := startCluster(t, 3)
	t.Run("all members apply a committed change", func(t *testing.T) {
		leader := c.requireLeader(t)
		requireProposed(t, c.members[leader], "one")
		c.requireApplied(t, "one")
	})
	t.Run("follower names the leader", func(t *testing.T) {
		leader := c.requireLeader(t)
		_, err := c.members[c.otherThan(leader)].node.Propose(t.Context(), []byte("x"))
		var refused *driver.NotLeaderError
		require.ErrorAs(t, err, &refused)
		assert.Equal(t, leader, refused.Leader())
		assert.Equal(t, string(leader), refused.Address())
	})
	t.Run("transfer loses no change", func(t *testing.T) {
		leader := c.requireLeader(t)
		require.NoError(t, c.members[leader].node.Transfer(t.Context()))
		next := c.requireLeader(t)
		assert.NotEqual(t, leader, next)
		requireProposed(t, c.members[next], "two")
		c.requireApplied(t, "one", "two")
	})
	t.Run("transfer leaves no unknown outcome", func(t *testing.T) {
		leader := c.requireLeader(t)
		var callers sync.WaitGroup
		for range 64 {
			callers.Go(func() { proposeUntilRefused(t, c.members[leader].node, "") })
		}
		require.NoError(t, c.members[leader].node.Transfer(t.Context()))
		callers.Wait()
		c.requireLeader(t)
	})
	t.Run("isolated leader is replaced and reports an unknown outcome", func(t *testing.T) {
		leader := c.requireLeader(t)
		c.network.isolate(string(leader), true)
		_, err := c.members[leader].node.Propose(t.Context(), []byte("lost"))
		var unknown *driver.UnknownOutcomeError
		require.ErrorAs(t, err, &unknown)
		next := c.requireLeader(t)
		assert.NotEqual(t, leader, next)
		requireProposed(t, c.members[next], "three")
		c.network.isolate(string(leader), false)
		c.requireApplied(t, "one", "two", "three")
	})
}

// proposeUntilRefused proposes until the node returns an error, which must be a NotLeaderError.
func proposeUntilRefused(t *testing.T, n *driver.Node[int], line string) {
	for {
		if _, err := n.Propose(t.Context(), []byte(line)); err != nil {
			var refused *driver.NotLeaderError
			assert.ErrorAs(t, err, &refused)
			return
		}
	}
}

// cluster is a set of members in one process that share an in-memory network.
type cluster struct {
	network *network
	members map[ledger.MemberID]member
	folders map[ledger.MemberID]string
	initial map[ledger.MemberID]string
}

func startCluster(t testing.TB, size int, opts ...driver.Option) *cluster {
	t.Helper()
	c := &cluster{
		network: newNetwork(),
		members: map[ledger.MemberID]member{},
		folders: map[ledger.MemberID]string{},
		initial: map[ledger.MemberID]string{},
	}
	for i := range size {
		id := fmt.Sprintf("c%d", i+1)
		c.initial[ledger.MemberID(id)] = id
		c.folders[ledger.MemberID(id)] = t.TempDir()
	}
	for id := range c.initial {
		c.start(t, id, opts...)
	}
	return c
}

func (c *cluster) start(t testing.TB, id ledger.MemberID, opts ...driver.Option) {
	t.Helper()
	opts = append([]driver.Option{driver.WithInitialMembers(c.initial)}, opts...)
	c.members[id] = startMember(t, c.folders[id], c.network, id, opts...)
}

// requireLeader waits until a member may serve requests as the leader, and returns its id.
func (c *cluster) requireLeader(t testing.TB) (leader ledger.MemberID) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	found := make(chan ledger.MemberID, len(c.members))
	for id, m := range c.members {
		go func() {
			for {
				s, changed := m.node.Status().Watch()
				if s.Ready(time.Now()) {
					found <- id
					return
				}
				select {
				case <-changed:
				case <-ctx.Done():
					return
				}
			}
		}()
	}
	select {
	case leader = <-found:
	case <-ctx.Done():
		require.Fail(t, "no leader")
	}
	return leader
}

func (c *cluster) otherThan(id ledger.MemberID) ledger.MemberID {
	for other := range c.members {
		if other != id {
			return other
		}
	}
	return ""
}

// requireApplied waits until all members have applied all committed entries, and asserts that these are the lines.
func (c *cluster) requireApplied(t testing.TB, lines ...string) {
	t.Helper()
	commit := c.members[c.requireLeader(t)].node.Status().Load().Commit()
	for _, m := range c.members {
		requireStatus(t, m, func(s driver.Status) bool { return s.Applied() >= commit })
		applied := slices.DeleteFunc(m.recorder.lines(), func(l string) bool { return l == "" })
		assert.Equal(t, lines, applied)
	}
}
