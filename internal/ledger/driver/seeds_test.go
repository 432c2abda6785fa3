package driver_test

import (
	"testing"

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
