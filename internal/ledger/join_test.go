package ledger_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/ledger"
)

// Guards against a host with an empty disk that never joins because it knows the addresses of followers only.
func TestJoinByFollower(t *testing.T) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 1))
	members := ledger.NewMembership(
		ledger.NewMember("a", "a", true), ledger.NewMember("b", "b", true), ledger.NewMember("c", "c", true))
	saved := ledger.NewPersistentState(ledger.NewHardState("a", 2, ""), ledger.NewSnapshot(0, 0, members, nil), nil)
	follower := ledger.NewCore(saved, "a", ledger.DefaultTiming(), now, random)
	t.Run("not forwarded without a leader", func(t *testing.T) {
		assert.Empty(t, joinRequests(follower.Step(now, random, ledger.NewReceive("d-1", ledger.NewJoin("d")))))
	})
	follower.Step(now, random, ledger.NewReceive("b", ledger.NewAppendEntries(2, 0, 0, nil, 0, 1, 0)))
	t.Run("forwarded to the leader", func(t *testing.T) {
		sent := joinRequests(follower.Step(now, random, ledger.NewReceive("d-1", ledger.NewJoin("d"))))
		require.Len(t, sent, 1)
		assert.Equal(t, ledger.MemberID("b"), sent[0].To())
		assert.Equal(t, ledger.NewJoin("d").For("d-1"), sent[0].Message())
	})
	t.Run("forwarded once only", func(t *testing.T) {
		assert.Empty(t, joinRequests(follower.Step(now, random, ledger.NewReceive("c", ledger.NewJoin("d").For("d-1")))))
	})
	t.Run("leader adds the joining member", func(t *testing.T) {
		l := newLeader(t)
		l.step(ledger.NewMatchReply(l.core.Term(), 2, 0, 2))
		l.core.Step(l.now, l.random, ledger.NewReceive("b", ledger.NewJoin("d").For("d-1")))
		_, known := l.core.Membership().Find("d-1")
		assert.True(t, known)
	})
}

// joinRequests returns the effects that send a Join.
func joinRequests(effects []ledger.Effect) (sent []ledger.Send) {
	for _, e := range effects {
		if s, ok := e.(ledger.Send); ok {
			if _, ok := s.Message().(ledger.Join); ok {
				sent = append(sent, s)
			}
		}
	}
	return sent
}

// Guards against a permanently lost host that remains a voter after its replacement has joined at another address. The
// next failure would then leave no majority.
func TestSuccessorOfSilentVoter(t *testing.T) {
	l := newLeader(t)
	l.step(ledger.NewMatchReply(l.core.Term(), 2, 0, 2))
	for n := range 60 {
		l.now = l.now.Add(100 * time.Millisecond)
		l.core.Step(l.now, l.random, ledger.NewReceive("d-1", ledger.NewJoin("d")))
		l.core.Step(l.now, l.random, ledger.NewPersisted(uint64(3+n)))
		for _, from := range []ledger.MemberID{"b", "d-1"} {
			matched := ledger.NewMatchReply(l.core.Term(), uint64(3+n), l.now.Sub(l.epoch), l.core.LastIndex())
			l.core.Step(l.now, l.random, ledger.NewReceive(from, matched))
		}
	}
	require.Equal(t, ledger.Leader, l.core.Role())
	assertVoter(t, l, "d-1", true)
	assertVoter(t, l, "c", false)
	assert.Equal(t, 3, l.core.Membership().Voters())
}

func assertVoter(t *testing.T, l *testLeader, id ledger.MemberID, want bool) {
	t.Helper()
	m, known := l.core.Membership().Find(id)
	require.True(t, known, "member %s", id)
	assert.Equal(t, want, m.Voter(), "member %s", id)
}

// runWithJoining runs a leader of a, b and c for 6 s, in which b, c and the joining members reply to it.
func runWithJoining(t *testing.T, joining ...ledger.MemberID) *testLeader {
	t.Helper()
	l := newLeader(t)
	l.step(ledger.NewMatchReply(l.core.Term(), 2, 0, 2))
	for n := range 60 {
		l.now = l.now.Add(100 * time.Millisecond)
		l.core.Step(l.now, l.random, ledger.NewPersisted(uint64(3+n)))
		for _, id := range joining {
			l.core.Step(l.now, l.random, ledger.NewReceive(id, ledger.NewJoin(string(id))))
		}
		for _, from := range append([]ledger.MemberID{"b", "c"}, joining...) {
			matched := ledger.NewMatchReply(l.core.Term(), uint64(3+n), l.now.Sub(l.epoch), l.core.LastIndex())
			l.core.Step(l.now, l.random, ledger.NewReceive(from, matched))
		}
	}
	require.Equal(t, ledger.Leader, l.core.Role())
	return l
}

// Guards against an even number of voters, which has no majority in a network partition into halves.
func TestOddVoters(t *testing.T) {
	t.Run("fourth host stays a non-voter", func(t *testing.T) {
		l := runWithJoining(t, "d")
		assertVoter(t, l, "d", false)
		assert.Equal(t, 3, l.core.Membership().Voters())
	})
	t.Run("two joining hosts become voters", func(t *testing.T) {
		l := runWithJoining(t, "d", "e")
		assertVoter(t, l, "d", true)
		assertVoter(t, l, "e", true)
	})
	t.Run("one of three joining hosts stays a non-voter", func(t *testing.T) {
		assert.Equal(t, 5, runWithJoining(t, "d", "e", "f").core.Membership().Voters())
	})
}

// Guards against a host with an emptied disk that never joins because all members that it knows are gone, although the
// leader still sends messages to its earlier id, and against one that waits for an election timeout before it asks.
func TestJoinByOverheardLeader(t *testing.T) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 1))
	gone := ledger.NewMembership(ledger.NewMember("d", "d", true), ledger.NewMember("gone", "gone", true))
	saved := ledger.NewPersistentState(ledger.NewHardState("d-1", 0, ""), ledger.NewSnapshot(0, 0, gone, nil), nil)
	joining := ledger.NewCore(saved, "d", ledger.DefaultTiming(), now, random)
	heartbeat := ledger.NewAppendEntries(2, 0, 0, nil, 0, 1, 0)
	assertJoinsAt := func(t *testing.T, effects []ledger.Effect, want ...string) {
		t.Helper()
		var asked []string
		for _, s := range joinRequests(effects) {
			asked = append(asked, s.Address())
		}
		assert.Equal(t, want, asked)
	}
	t.Run("the members are asked at the start", func(t *testing.T) {
		assertJoinsAt(t, joining.Step(now, random, ledger.Tick{}), "gone")
	})
	t.Run("asked at once", func(t *testing.T) {
		assertJoinsAt(t, joining.Step(now, random, ledger.NewOverheard("b", heartbeat)), "b", "gone")
	})
	t.Run("not asked at each message", func(t *testing.T) {
		assertJoinsAt(t, joining.Step(now, random, ledger.NewOverheard("b", heartbeat)))
	})
	t.Run("asked again", func(t *testing.T) {
		assertJoinsAt(t, joining.Step(joining.Wake(), random, ledger.Tick{}), "b", "gone")
	})
	t.Run("a message without a term proves nothing", func(t *testing.T) {
		assertJoinsAt(t, joining.Step(now, random, ledger.NewOverheard("e", ledger.NewProbeReply(0, false))))
	})
	t.Run("the latest senders are kept", func(t *testing.T) {
		for _, address := range []string{"1", "2", "3", "4", "5", "6", "7", "8"} {
			joining.Step(now, random, ledger.NewOverheard(address, heartbeat))
		}
		assertJoinsAt(t, joining.Step(joining.Wake(), random, ledger.Tick{}), "1", "2", "3", "4", "5", "6", "7", "8", "gone")
	})
}

// Guards against a host that never joins again because it has received a part of the log from a leader that was replaced
// before the membership with this host was committed.
func TestJoinAfterLostAdmission(t *testing.T) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 1))
	members := ledger.NewMembership(
		ledger.NewMember("a", "a", true), ledger.NewMember("b", "b", true), ledger.NewMember("c", "c", true))
	saved := ledger.NewPersistentState(ledger.NewHardState("d-1", 0, ""), ledger.NewSnapshot(0, 0, members, nil), nil)
	joining := ledger.NewCore(saved, "d", ledger.DefaultTiming(), now, random)
	joining.Step(now, random, ledger.NewReceive("a", ledger.NewInstallSnapshot(2, ledger.NewSnapshot(10, 2, members, nil), 1, 0)))
	asked := joinRequests(joining.Step(joining.Wake(), random, ledger.Tick{}))
	assert.Len(t, asked, 3)
}

// Guards against a host that takes itself for a voter and asks for votes forever, although it was removed while it was
// down and its members are gone.
func TestJoinOfRemovedVoter(t *testing.T) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 1))
	members := ledger.NewMembership(
		ledger.NewMember("a", "a", true), ledger.NewMember("b", "b", true), ledger.NewMember("c", "c", true))
	saved := ledger.NewPersistentState(ledger.NewHardState("a", 2, ""), ledger.NewSnapshot(10, 2, members, nil), nil)
	voter := ledger.NewCore(saved, "a", ledger.DefaultTiming(), now, random)
	voter.Step(now, random, ledger.NewSeeds([]string{"d"}))
	asked := map[string]int{}
	for end := now.Add(5 * time.Second); voter.Wake().Before(end); {
		for _, s := range joinRequests(voter.Step(voter.Wake(), random, ledger.Tick{})) {
			asked[s.Address()]++
		}
	}
	for _, address := range []string{"b", "c", "d"} {
		assert.Contains(t, []int{3, 4}, asked[address], "requests to %s, one a second after the election timeout", address)
	}
	t.Run("no requests while a leader is known", func(t *testing.T) {
		at := voter.Wake()
		assert.Empty(t, joinRequests(voter.Step(at, random, ledger.NewReceive("b", ledger.NewAppendEntries(3, 10, 2, nil, 10, 1, 0)))))
	})
}
