package driver_test

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/ledger"
	"rosemarywind.example/rosemarywind/internal/ledger/driver"
)

// Guards against a host with an emptied disk that does not become a voter again, or that lacks committed changes after
// it has rejoined.
func TestEmptiedDisk(t *testing.T) {
	parent := t // members run beyond the subtest that starts them
	c := startCluster(t, 3, driver.WithSnapshotThreshold(5))
	requireProposedTo(t, c, "1", "2", "3", "4", "5", "6", "7")
	for _, id := range []ledger.MemberID{"c1", "c2", "c3"} {
		t.Run("emptied "+string(id), func(t *testing.T) {
			c.members[id].stop()
			delete(c.members, id)
			c.folders[id] = parent.TempDir()
			c.start(parent, id, driver.WithSnapshotThreshold(5))
			requireStatus(t, c.members[id], func(s driver.Status) bool {
				m, ok := s.Membership().Find(s.Self())
				return ok && m.Voter() && s.Membership().Voters() == 3 && s.Self() != id
			})
			c.requireApplied(t, "1", "2", "3", "4", "5", "6", "7")
		})
	}
}

// Guards against membership requests that report success before the change is committed, or that break the quorum.
func TestMembership(t *testing.T) {
	parent := t // members run beyond the subtest that starts them
	c := startCluster(t, 1)
	leader := c.members["c1"]
	requireLeading(t, leader)
	t.Run("host is added and promoted", func(t *testing.T) {
		c.folders["c2"] = parent.TempDir()
		c.initial["c2"] = "c2"
		c.start(parent, "c2")
		requireStatus(t, leader, func(s driver.Status) bool { return s.Membership().Voters() == 2 })
		requireProposed(t, leader, "one")
		c.requireApplied(t, "one")
	})
	t.Run("unknown member is refused", func(t *testing.T) {
		assertRefused(t, ledger.UnknownMember, leader.node.Promote(t.Context(), "c9"))
		assertRefused(t, ledger.UnknownMember, leader.node.Remove(t.Context(), "c9"))
	})
	t.Run("non-voter is added and removed", func(t *testing.T) {
		require.NoError(t, leader.node.AddNonVoter(t.Context(), "c9", "c9"))
		assertRefused(t, ledger.MemberExists, leader.node.AddNonVoter(t.Context(), "c9", "c9"))
		require.NoError(t, leader.node.Remove(t.Context(), "c9"))
	})
	t.Run("removal of the leader is refused", func(t *testing.T) {
		assertRefused(t, ledger.LeaderRemoving, leader.node.Remove(t.Context(), "c1"))
	})
}

// Guards against a node that continues after its storage has failed.
func TestFailedSync(t *testing.T) {
	cause := errors.New("input/output error")
	n, err := driver.NewNode(&recorder{}, driver.WithMember("a", "a"),
		driver.WithInitialMembers(map[ledger.MemberID]string{"a": "a"}),
		driver.WithStorage(&failingStorage{writesLeft: 2, cause: cause}, ledger.PersistentState{}))
	require.NoError(t, err)
	require.ErrorIs(t, n.Run(t.Context()), cause)
	_, err = n.Propose(t.Context(), []byte("x"))
	require.ErrorIs(t, err, driver.ErrStopped)
}

// failingStorage fails after a number of successful writes.
type failingStorage struct {
	writesLeft int
	cause      error
}

func (s *failingStorage) Save([]ledger.Persist) error {
	if s.writesLeft--; s.writesLeft < 0 {
		return s.cause
	}
	return nil
}

func (s *failingStorage) Close() error { return nil }

func assertRefused(t *testing.T, reason ledger.Refusal, err error) {
	t.Helper()
	var refused *driver.RefusedError
	if assert.ErrorAs(t, err, &refused) {
		assert.Equal(t, reason, refused.Reason())
	}
}

func requireProposedTo(t *testing.T, c *cluster, lines ...string) {
	t.Helper()
	leader := c.requireLeader(t)
	for _, l := range lines {
		requireProposed(t, c.members[leader], l)
	}
}
