package driver_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/ledger"
	"rosemarywind.example/rosemarywind/internal/ledger/driver"
)

// Guards against a host with an empty disk that waits for replies without a trace of whose.
func TestProbing(t *testing.T) {
	parent := t // members run beyond the subtest that starts them
	c := startCluster(t, 0)
	for _, id := range []ledger.MemberID{"c1", "c2", "c3"} {
		c.initial[id] = string(id)
		c.folders[id] = t.TempDir()
	}
	t.Run("nobody replies", func(t *testing.T) {
		c.start(parent, "c1")
		requireProbing(t, c.members["c1"], nil, []string{"c2", "c3"})
	})
	t.Run("one replies", func(t *testing.T) {
		c.start(parent, "c2")
		requireProbing(t, c.members["c1"], []string{"c2"}, []string{"c3"})
	})
	t.Run("decided", func(t *testing.T) {
		c.start(parent, "c3")
		requireProbing(t, c.members["c1"], nil, nil)
	})
}

// Guards against a member that cannot be elected without a record of the voters that are silent or refuse.
func TestElectionsInStatus(t *testing.T) {
	c := startCluster(t, 3)
	leader := c.requireLeader(t)
	t.Run("won", func(t *testing.T) {
		a, ok := c.members[leader].node.Status().Load().Elections().Ended()
		assert.True(t, ok)
		assert.Equal(t, ledger.AttemptWon, a.Outcome())
	})
	t.Run("silent voters", func(t *testing.T) {
		left := c.otherThan(leader)
		for id, m := range c.members {
			if id != left {
				m.stop()
			}
		}
		requireStatus(t, c.members[left], func(s driver.Status) bool {
			a, ok := s.Elections().Ended()
			return ok && a.Outcome() == ledger.AttemptTimedOut && countUnanswered(a) == 2
		})
	})
}

func requireProbing(t *testing.T, m member, answered, unanswered []string) {
	t.Helper()
	requireStatus(t, m, func(s driver.Status) bool {
		return assert.ObjectsAreEqual(answered, s.Probing().Answered()) &&
			assert.ObjectsAreEqual(unanswered, s.Probing().Unanswered())
	})
	assert.Equal(t, len(answered)+len(unanswered) > 0, m.node.Status().Load().Probing().Undecided())
}

func countUnanswered(a ledger.Attempt) (count int) {
	for _, b := range a.Ballots() {
		if b.Reason() == "" {
			count++
		}
	}
	return count
}
