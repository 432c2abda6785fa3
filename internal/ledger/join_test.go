package ledger_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/ledger"
)

// Guards against a host with an empty disk that never joins, because it knows only followers.
func TestJoinByFollower(t *testing.T) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 1))
	members := ledger.NewMembership(
		ledger.NewMember("a", "a", true), ledger.NewMember("b", "b", true), ledger.NewMember("c", "c", true))
	saved := ledger.NewSaved(ledger.NewHardState("a", 2, ""), ledger.NewSnapshot(0, 0, members, nil), nil)
	follower := ledger.NewCore(saved, "a", ledger.DefaultTiming(), now, random)
	t.Run("not without a leader", func(t *testing.T) {
		assert.Empty(t, joins(follower.Step(now, random, ledger.NewReceive("d-1", ledger.NewJoin("d")))))
	})
	follower.Step(now, random, ledger.NewReceive("b", ledger.NewAppend(2, 0, 0, nil, 0, 1, 0)))
	t.Run("passed on to the leader", func(t *testing.T) {
		sent := joins(follower.Step(now, random, ledger.NewReceive("d-1", ledger.NewJoin("d"))))
		require.Len(t, sent, 1)
		assert.Equal(t, ledger.MemberID("b"), sent[0].To())
		assert.Equal(t, ledger.NewJoin("d").For("d-1"), sent[0].Message())
	})
	t.Run("once only", func(t *testing.T) {
		assert.Empty(t, joins(follower.Step(now, random, ledger.NewReceive("c", ledger.NewJoin("d").For("d-1")))))
	})
	t.Run("the leader adds who joins", func(t *testing.T) {
		l := newLeader(t)
		l.step(ledger.NewMatched(l.core.Term(), 2, 0, 2))
		l.core.Step(l.now, l.random, ledger.NewReceive("b", ledger.NewJoin("d").For("d-1")))
		_, known := l.core.Membership().Find("d-1")
		assert.True(t, known)
	})
}

// joins returns the sent requests to join.
func joins(effects []ledger.Effect) (sent []ledger.Send) {
	for _, e := range effects {
		if s, ok := e.(ledger.Send); ok {
			if _, ok := s.Message().(ledger.Join); ok {
				sent = append(sent, s)
			}
		}
	}
	return sent
}

// Guards against a host that is gone for good and keeps its vote after its successor came at another address, so that the
// next loss leaves no majority.
func TestSuccessorOfSilentVoter(t *testing.T) {
	l := newLeader(t)
	l.step(ledger.NewMatched(l.core.Term(), 2, 0, 2))
	for n := range 60 {
		l.now = l.now.Add(100 * time.Millisecond)
		l.core.Step(l.now, l.random, ledger.NewReceive("d-1", ledger.NewJoin("d")))
		l.core.Step(l.now, l.random, ledger.NewPersisted(uint64(3+n)))
		for _, from := range []ledger.MemberID{"b", "d-1"} {
			matched := ledger.NewMatched(l.core.Term(), uint64(3+n), l.now.Sub(l.epoch), l.core.LastIndex())
			l.core.Step(l.now, l.random, ledger.NewReceive(from, matched))
		}
	}
	require.Equal(t, ledger.Leader, l.core.Role())
	assertVoter(t, l, "d-1", true)
	assertVoter(t, l, "c", false)
	assert.Equal(t, 3, l.core.Membership().Voters())
}

func assertVoter(t *testing.T, l *led, id ledger.MemberID, want bool) {
	t.Helper()
	m, known := l.core.Membership().Find(id)
	require.True(t, known, "member %s", id)
	assert.Equal(t, want, m.Voter(), "member %s", id)
}

// meet lets a leader of a, b and c hear from its members and from those who join for some seconds.
func meet(t *testing.T, joining ...ledger.MemberID) *led {
	t.Helper()
	l := newLeader(t)
	l.step(ledger.NewMatched(l.core.Term(), 2, 0, 2))
	for n := range 60 {
		l.now = l.now.Add(100 * time.Millisecond)
		l.core.Step(l.now, l.random, ledger.NewPersisted(uint64(3+n)))
		for _, id := range joining {
			l.core.Step(l.now, l.random, ledger.NewReceive(id, ledger.NewJoin(string(id))))
		}
		for _, from := range append([]ledger.MemberID{"b", "c"}, joining...) {
			matched := ledger.NewMatched(l.core.Term(), uint64(3+n), l.now.Sub(l.epoch), l.core.LastIndex())
			l.core.Step(l.now, l.random, ledger.NewReceive(from, matched))
		}
	}
	require.Equal(t, ledger.Leader, l.core.Role())
	return l
}

// Guards against an even number of voters, which has no majority when the hosts are split into halves.
func TestOddVoters(t *testing.T) {
	t.Run("a fourth host stands by", func(t *testing.T) {
		l := meet(t, "d")
		assertVoter(t, l, "d", false)
		assert.Equal(t, 3, l.core.Membership().Voters())
	})
	t.Run("two more become voters", func(t *testing.T) {
		l := meet(t, "d", "e")
		assertVoter(t, l, "d", true)
		assertVoter(t, l, "e", true)
	})
	t.Run("of three more one stands by", func(t *testing.T) {
		assert.Equal(t, 5, meet(t, "d", "e", "f").core.Membership().Voters())
	})
}
