package ledger_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/ledger"
)

// Guards against a leader that commits an entry of an earlier term because a majority stores it. A later leader could
// still replace the entry.
func TestCommitOfOwnTerm(t *testing.T) {
	l := newLeader(t)
	l.step(ledger.NewMatchReply(l.core.Term(), 1, 0, 1))
	assert.Zero(t, l.core.Commit())
	l.step(ledger.NewMatchReply(l.core.Term(), 2, 0, 2))
	assert.Equal(t, uint64(2), l.core.Commit())
}

// Guards against a leader that serves requests without a lease, or after its lease has ended.
func TestLeaderLease(t *testing.T) {
	l := newLeader(t)
	t.Run("no lease before a voter replies", func(t *testing.T) { assert.Zero(t, l.core.LeaseExpiresAt()) })
	t.Run("lease starts when the message was sent", func(t *testing.T) {
		l.now = l.now.Add(300 * time.Millisecond)
		l.step(ledger.NewMatchReply(l.core.Term(), 1, 2*time.Second, 2))
		assert.Equal(t, l.epoch.Add(3*time.Second), l.core.LeaseExpiresAt())
	})
	t.Run("leader without a majority steps down at the end of the lease", func(t *testing.T) {
		l.now = l.core.LeaseExpiresAt()
		l.core.Step(l.now, l.random, ledger.Tick{})
		assert.Equal(t, ledger.Follower, l.core.Role())
		assert.Zero(t, l.core.LeaseExpiresAt())
	})
}

// Guards against a log that stays in memory after a snapshot because its entries are few, though they are large.
func TestTrailingEntries(t *testing.T) {
	for name, c := range map[string]struct {
		trailing ledger.Trailing
		want     uint64
	}{
		"all within the bounds":    {ledger.NewTrailing(100, 10_000), 1},
		"bounded by number":        {ledger.NewTrailing(3, 10_000), 10},
		"bounded by bytes":         {ledger.NewTrailing(100, 250), 11},
		"no entry is small enough": {ledger.NewTrailing(100, 99), 13},
		"none":                     {ledger.Trailing{}, 13},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLeader(t)
			for range 10 {
				l.core.Step(l.now, l.random, ledger.NewPropose(ledger.NewProposal(1, make([]byte, 100))))
			}
			l.core.Step(l.now, l.random, ledger.NewPersisted(100))
			l.step(ledger.NewMatchReply(l.core.Term(), 2, 0, 12))
			assert.Equal(t, uint64(12), l.core.Commit())
			l.core.Step(l.now, l.random, ledger.NewCompact(12, nil, c.trailing))
			assert.Equal(t, c.want, l.core.FirstIndex())
		})
	}
}

// testLeader is the leader of term 3. Its log starts with an entry of term 1 that no other voter has acknowledged.
type testLeader struct {
	core   *ledger.Core
	epoch  time.Time
	now    time.Time
	random *rand.Rand
}

func newLeader(t *testing.T) *testLeader {
	t.Helper()
	return newLeaderOf(t, 1, "b", "c")
}

// newLeaderOf returns the leader of itself and the given voters, of whom it has the votes of as many as it needs.
func newLeaderOf(t *testing.T, faults int, voters ...ledger.MemberID) *testLeader {
	t.Helper()
	members := []ledger.Member{ledger.NewMember("a", "a", true)}
	for _, id := range voters {
		members = append(members, ledger.NewMember(id, string(id), true))
	}
	saved := ledger.NewPersistentState(ledger.NewHardState("a", 2, ""),
		ledger.NewSnapshot(0, 0, ledger.NewMembership(members...), nil), []ledger.Entry{ledger.NewEntry(1, 1, ledger.Data, nil)})
	l := &testLeader{epoch: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 1))}
	l.core = ledger.NewCore(saved, "a", ledger.DefaultTiming(), l.epoch, l.random).WithFaults(faults)
	l.now = l.epoch.Add(2 * time.Second)
	l.core.Step(l.now, l.random, ledger.Tick{})
	for _, id := range voters[:len(members)/2] {
		l.core.Step(l.now, l.random, ledger.NewReceive(id, ledger.NewPreVoteReply(3, 2, true)))
	}
	l.core.Step(l.now, l.random, ledger.NewPersisted(1))
	for _, id := range voters[:len(members)/2] {
		l.core.Step(l.now, l.random, ledger.NewReceive(id, ledger.NewRequestVoteReply(3, true)))
	}
	l.core.Step(l.now, l.random, ledger.NewPersisted(2))
	assert.Equal(t, ledger.Leader, l.core.Role())
	return l
}

// step passes a message from voter b to the leader.
func (l *testLeader) step(m ledger.Message) { l.core.Step(l.now, l.random, ledger.NewReceive("b", m)) }
