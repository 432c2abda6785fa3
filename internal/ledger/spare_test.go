package ledger_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

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

// newNonVoter returns a host without a vote in a log with three voters. It follows a in term 2.
func newNonVoter(t *testing.T, now time.Time, random *rand.Rand) *ledger.Core {
	t.Helper()
	members := ledger.NewMembership(
		ledger.NewMember("a", "a", true), ledger.NewMember("b", "b", true), ledger.NewMember("c", "c", true),
		ledger.NewMember("d", "d", false))
	saved := ledger.NewPersistentState(ledger.NewHardState("d", 2, ""), ledger.NewSnapshot(5, 2, members, nil), nil)
	core := ledger.NewCore(saved, "d", ledger.DefaultTiming(), now, random)
	effects := core.Step(now, random, ledger.NewReceive("a", ledger.NewAppendEntries(2, 5, 2, nil, 5, 1, 0)))
	require.NotEmpty(t, effects)
	core.Step(now, random, ledger.Tick{})
	return core
}

// Guards against a new leader that does not know the spares until they ask again, so that the former leader stops with
// its vote after a planned transfer.
func TestSpareAsksNewLeader(t *testing.T) {
	now, random := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 1))
	core := newNonVoter(t, now, random)
	now = now.Add(100 * time.Millisecond)
	assert.Empty(t, joinRequests(core.Step(now, random, ledger.NewReceive("a", ledger.NewAppendEntries(2, 5, 2, nil, 5, 2, 0)))))
	effects := core.Step(now, random, ledger.NewReceive("b", ledger.NewAppendEntries(3, 5, 2, nil, 5, 1, 0)))
	assert.NotEmpty(t, joinRequests(effects), "requests to join")
}

// Guards against a host without a vote that does not ask to join because the leader's messages arrive before the timer.
func TestJoinRequestBesideMessages(t *testing.T) {
	now, random := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 1))
	core := newNonVoter(t, now, random)
	asked := 0
	for n := range uint64(40) {
		now = now.Add(100*time.Millisecond + time.Microsecond)
		asked += len(joinRequests(core.Step(now, random, ledger.NewReceive("a", ledger.NewAppendEntries(2, 5, 2, nil, 5, 2+n, 0)))))
	}
	assert.GreaterOrEqual(t, asked, 3, "requests to join in 4 s")
}

// Guards against a host that never joins because another host, which has moved with its disk, had its address before.
func TestJoinAtFormerAddress(t *testing.T) {
	l := newLeader(t)
	joining := ledger.FreshID("c", 1)
	for n := range uint64(40) {
		l.now = l.now.Add(100 * time.Millisecond)
		l.core.Step(l.now, l.random, ledger.NewPersisted(1000+100*n))
		l.core.Step(l.now, l.random, ledger.NewReceive("c", ledger.NewJoin("c2")))
		if n > 10 {
			l.core.Step(l.now, l.random, ledger.NewReceive(joining, ledger.NewJoin("c")))
		}
		for _, id := range []ledger.MemberID{"b", "c", joining} {
			reply := ledger.NewMatchReply(l.core.Term(), 1000+100*n, l.now.Sub(l.epoch), l.core.LastIndex())
			l.core.Step(l.now, l.random, ledger.NewReceive(id, reply))
		}
	}
	assertVoter(t, l, "c", true)
	assertVoter(t, l, joining, false)
}
