package ledger_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/ledger"
)

// Guards against a leader that adds and removes the earlier id of a host without end, and changes no votes meanwhile,
// because a host without a vote has lost its disk.
func TestSpareLosesDisk(t *testing.T) {
	l := newLeader(t)
	earlier, later := ledger.FreshID("d", 1), ledger.FreshID("d", 2)
	round := uint64(1000)
	run := func(length time.Duration, joining ledger.MemberID, voters ...ledger.MemberID) {
		for end := l.now.Add(length); l.now.Before(end); {
			l.now = l.now.Add(100 * time.Millisecond)
			round += 100
			l.core.Step(l.now, l.random, ledger.NewPersisted(round))
			l.core.Step(l.now, l.random, ledger.NewReceive(joining, ledger.NewJoin("d")))
			for _, id := range append(voters, joining) {
				reply := ledger.NewMatchReply(l.core.Term(), round, l.now.Sub(l.epoch), l.core.LastIndex())
				l.core.Step(l.now, l.random, ledger.NewReceive(id, reply))
			}
		}
	}
	run(2*time.Second, earlier, "b", "c")
	assertVoter(t, l, earlier, false)
	run(4*time.Second, later, "b", "c")
	t.Run("the later id replaces the earlier one", func(t *testing.T) {
		_, known := l.core.Membership().Find(earlier)
		assert.False(t, known, "%v", l.core.Membership())
		assertVoter(t, l, later, false)
	})
	t.Run("the membership settles", func(t *testing.T) {
		before := l.core.LastIndex()
		run(2*time.Second, later, "b", "c")
		assert.Equal(t, before, l.core.LastIndex())
	})
	t.Run("the host takes the vote of a lost one", func(t *testing.T) {
		run(4*time.Second, later, "b")
		assertVoter(t, l, "c", false)
		assertVoter(t, l, later, true)
	})
}
