package ledger_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/ledger"
)

// Guards against a leader that counts replicas of an entry of an earlier term, which a
// later leader may still replace.
func TestCommitOfOwnTerm(t *testing.T) {
	l := newLeader(t)
	l.step(ledger.NewMatched(l.core.Term(), 1, 0, 1))
	assert.Zero(t, l.core.Commit())
	l.step(ledger.NewMatched(l.core.Term(), 2, 0, 2))
	assert.Equal(t, uint64(2), l.core.Commit())
}

// Guards against a leader that serves on a lease which nobody has granted, or beyond its end.
func TestLeaderLease(t *testing.T) {
	l := newLeader(t)
	t.Run("none before a voter answers", func(t *testing.T) { assert.Zero(t, l.core.LeaseEnds()) })
	t.Run("counted from the moment it was asked for", func(t *testing.T) {
		l.now = l.now.Add(300 * time.Millisecond)
		l.step(ledger.NewMatched(l.core.Term(), 1, 2*time.Second, 2))
		assert.Equal(t, l.epoch.Add(3*time.Second), l.core.LeaseEnds())
	})
	t.Run("a leader without a majority steps down at its end", func(t *testing.T) {
		l.now = l.core.LeaseEnds()
		l.core.Step(l.now, l.random, ledger.Tick{})
		assert.Equal(t, ledger.Follower, l.core.Role())
		assert.Zero(t, l.core.LeaseEnds())
	})
}

// led is the leader of term 3 whose log has an entry of term 1 that no other voter is known to have.
type led struct {
	core   *ledger.Core
	epoch  time.Time
	now    time.Time
	random *rand.Rand
}

func newLeader(t *testing.T) *led {
	t.Helper()
	members := ledger.NewMembership(
		ledger.NewMember("a", "a", true), ledger.NewMember("b", "b", true), ledger.NewMember("c", "c", true))
	saved := ledger.NewSaved(ledger.NewHardState("a", 2, ""), ledger.NewSnapshot(0, 0, members, nil),
		[]ledger.Entry{ledger.NewEntry(1, 1, ledger.Data, nil)})
	l := &led{epoch: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 1))}
	l.core = ledger.NewCore(saved, "a", ledger.DefaultTiming(), l.epoch, l.random)
	l.now = l.epoch.Add(2 * time.Second)
	l.core.Step(l.now, l.random, ledger.Tick{})
	l.step(ledger.NewPreVoteReply(3, 2, true))
	l.core.Step(l.now, l.random, ledger.NewPersisted(1))
	l.step(ledger.NewVoteReply(3, true))
	l.core.Step(l.now, l.random, ledger.NewPersisted(2))
	assert.Equal(t, ledger.Leader, l.core.Role())
	return l
}

// step brings a message of voter b.
func (l *led) step(m ledger.Message) { l.core.Step(l.now, l.random, ledger.NewReceive("b", m)) }
