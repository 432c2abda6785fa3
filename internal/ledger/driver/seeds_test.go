package driver_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/ledger"
	"rosemarywind.example/rosemarywind/internal/ledger/driver"
)

// Guards against a host that never joins because all seeds of its first start are gone, although the settings list
// others since.
func TestChangedSeeds(t *testing.T) {
	gone := driver.WithInitialMembers(map[ledger.MemberID]string{"gone": "gone"})
	t.Run("changed while the host runs", func(t *testing.T) {
		c := startCluster(t, 1)
		c.requireLeader(t)
		seeds := board.NewSection([]string{"gone"})
		m := startMember(t, t.TempDir(), c.network, "d", gone, driver.WithSeeds(seeds))
		seeds.Publish([]string{"gone too"})
		seeds.Publish([]string{"c1"})
		requireJoined(t, m)
	})
	t.Run("changed while the host is down", func(t *testing.T) {
		c := startCluster(t, 1)
		c.requireLeader(t)
		folder := t.TempDir()
		m := startMember(t, folder, c.network, "d", gone)
		requireStatus(t, m, func(s driver.Status) bool { return s.Self() != "" })
		m.stop()
		m = startMember(t, folder, c.network, "d", gone, driver.WithSeeds(board.NewSection([]string{"c1"})))
		requireJoined(t, m)
	})
}

// requireJoined waits until the member follows a leader whose membership lists it.
func requireJoined(t *testing.T, m member) {
	t.Helper()
	requireStatus(t, m, func(s driver.Status) bool {
		_, listed := s.Membership().Find(s.Self())
		return listed && s.Leader() != ""
	})
}

// Guards against hosts with emptied disks that wait forever for a seed which is gone, although a majority of the members
// has a leader.
func TestEmptiedDisksWithoutSeed(t *testing.T) {
	t.Run("the leader still lists the hosts", func(t *testing.T) {
		c := startCluster(t, 5)
		requireProposedTo(t, c, "one")
		emptied := []ledger.MemberID{"c1", "c2"}
		for _, id := range emptied {
			c.members[id].stop()
			delete(c.members, id)
			c.folders[id] = t.TempDir()
		}
		for _, id := range emptied {
			c.start(t, id, driver.WithInitialMembers(map[ledger.MemberID]string{"c1": "c1", "c2": "c2", "gone": "gone"}))
		}
		for _, id := range emptied {
			requireJoined(t, c.members[id])
		}
		c.requireApplied(t, "one")
	})
	t.Run("the settings list another seed", func(t *testing.T) {
		c := startCluster(t, 1)
		c.requireLeader(t)
		seeds := board.NewSection[[]string](nil)
		m := startMember(t, t.TempDir(), c.network, "d", driver.WithSeeds(seeds),
			driver.WithInitialMembers(map[ledger.MemberID]string{"d": "d", "gone": "gone"}))
		seeds.Publish([]string{"c1"})
		requireJoined(t, m)
	})
}

// Guards against a second log that hosts whose disks are lost and a successor start, while the members that have the log
// come back more slowly from the same loss of power.
func TestNoSecondLog(t *testing.T) {
	c := startCluster(t, 5)
	requireProposedTo(t, c, "one")
	for _, m := range c.members {
		m.stop()
	}
	empty := []ledger.MemberID{"c1", "c2", "d"}
	seeds := map[ledger.MemberID]string{}
	for _, id := range empty {
		seeds[id], c.folders[id] = string(id), t.TempDir()
	}
	for _, id := range empty {
		c.start(t, id, driver.WithInitialMembers(seeds), driver.WithFirstStart(false))
	}
	time.Sleep(3 * time.Second)
	for _, id := range []ledger.MemberID{"c3", "c4", "c5"} {
		c.start(t, id, driver.WithFirstStart(false))
	}
	for _, id := range empty {
		requireJoined(t, c.members[id])
	}
	c.requireApplied(t, "one")
}

// Guards against hosts that never start a log because they were stopped before they had stored anything at the first
// start.
func TestStopBeforeFirstWrite(t *testing.T) {
	c := startCluster(t, 3, driver.WithFirstStart(false))
	c.requireLeader(t)
	requireProposedTo(t, c, "one")
	c.requireApplied(t, "one")
}

// Guards against a host that was removed while it was down, and then asks for votes forever instead of joining again.
func TestRemovedWhileDown(t *testing.T) {
	c := startCluster(t, 3)
	requireProposedTo(t, c, "one")
	removed := c.otherThan(c.requireLeader(t))
	c.members[removed].stop()
	delete(c.members, removed)
	leader := c.members[c.requireLeader(t)]
	require.NoError(t, leader.node.Remove(t.Context(), removed))
	c.start(t, removed)
	requireStatus(t, leader, func(s driver.Status) bool {
		m, listed := s.Membership().Find(removed)
		return listed && m.Voter()
	})
	c.requireApplied(t, "one")
}
