package ledger_test

import (
	"math/rand/v2"
	"slices"
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

// voterCase is a leader of term 3 that runs for some seconds beside other members.
type voterCase struct {
	voters  []ledger.MemberID // beside the leader
	joining []ledger.MemberID // hosts that ask to join and answer
	silent  []ledger.MemberID // voters that do not answer
	stops   []ledger.MemberID // voters that say that they are about to stop
	faults  int
	lag     int           // number of the latest entries that a joining host lacks in each reply
	length  time.Duration // after the election
}

// run plays the case in steps of 100 ms, in each of which the leader appends 10 entries, and calls each with the leader
// after each step.
func (v voterCase) run(t *testing.T, each func(*testLeader)) *testLeader {
	t.Helper()
	l := newLeaderOf(t, v.faults, v.voters...)
	for n := range int(v.length / (100 * time.Millisecond)) {
		l.now = l.now.Add(100 * time.Millisecond)
		for range 10 {
			l.core.Step(l.now, l.random, ledger.NewPropose(ledger.NewProposal(1, nil)))
		}
		l.core.Step(l.now, l.random, ledger.NewPersisted(uint64(1000+100*n)))
		for _, id := range v.joining {
			l.core.Step(l.now, l.random, ledger.NewReceive(id, ledger.NewJoin(string(id))))
		}
		for _, id := range v.stops {
			l.core.Step(l.now, l.random, ledger.NewReceive(id, ledger.Leave{}))
		}
		for _, id := range slices.Concat(v.voters, v.joining) {
			index := l.core.LastIndex()
			if slices.Contains(v.joining, id) {
				index -= min(index, uint64(v.lag))
			}
			if !slices.Contains(v.silent, id) {
				reply := ledger.NewMatchReply(l.core.Term(), uint64(1000+100*n), l.now.Sub(l.epoch), index)
				l.core.Step(l.now, l.random, ledger.NewReceive(id, reply))
			}
			each(l)
		}
	}
	require.Equal(t, ledger.Leader, l.core.Role())
	return l
}

func assertVoters(t *testing.T, l *testLeader, want ...ledger.MemberID) {
	t.Helper()
	var voters []ledger.MemberID
	for _, m := range l.core.Membership().Members() {
		if m.Voter() {
			voters = append(voters, m.ID())
		}
	}
	assert.Equal(t, want, voters)
}

// assertMajority asserts that the voters that answer are a majority even after the loss of a number of them.
func assertMajority(t *testing.T, l *testLeader, silent []ledger.MemberID, losses int) {
	t.Helper()
	left := -losses
	for _, m := range l.core.Membership().Members() {
		if m.Voter() && !slices.Contains(silent, m.ID()) {
			left++
		}
	}
	assert.GreaterOrEqual(t, left, l.core.Membership().Majority(), "%v", l.core.Membership())
}

// Guards against a host that is gone for good and keeps its vote while one that has caught up has none, so that losses
// which are to be tolerated leave no majority.
func TestVotesOfGoneHosts(t *testing.T) {
	for name, c := range map[string]struct {
		voterCase
		want []ledger.MemberID
	}{
		"the seventh voter is replaced": {
			voterCase{voters: ids("bcdefg"), joining: ids("h"), silent: ids("c"), faults: 2}, ids("abdefgh"),
		},
		"two of seven are not replaced": {voterCase{voters: ids("bcdefg"), silent: ids("cd"), faults: 2}, ids("abefg")},
		"one of seven is not replaced":  {voterCase{voters: ids("bcdefg"), silent: ids("c"), faults: 2}, ids("abdefg")},
		"one of six is not replaced":    {voterCase{voters: ids("bcdef"), silent: ids("c"), faults: 2}, ids("abdef")},
		"two of five stay with two faults": {
			voterCase{voters: ids("bcde"), silent: ids("cd"), faults: 2}, ids("abcde"),
		},
		"two of five go with one fault": {voterCase{voters: ids("bcde"), silent: ids("cd"), faults: 1}, ids("abe")},
		"three voters and two faults":   {voterCase{voters: ids("bc"), joining: ids("d"), faults: 2}, ids("abcd")},
		"a spare of six hosts":          {voterCase{voters: ids("bcde"), joining: ids("f"), faults: 2}, ids("abcde")},
		"both of two spares":            {voterCase{voters: ids("bcde"), joining: ids("fg"), faults: 2}, ids("abcdefg")},
	} {
		t.Run(name, func(t *testing.T) {
			c.length = 6 * time.Second
			assertVoters(t, c.run(t, func(*testLeader) {}), c.want...)
		})
	}
}

// Guards against a host that never becomes a voter because the commit index is ahead of it whenever it answers.
func TestPromotionUnderLoad(t *testing.T) {
	l := voterCase{voters: ids("bc"), joining: ids("de"), faults: 1, lag: 5, length: 2 * time.Second}.run(t, func(*testLeader) {})
	assertVoters(t, l, ids("abcde")...)
	t.Run("not more than one lease behind", func(t *testing.T) {
		l := voterCase{voters: ids("bc"), joining: ids("de"), faults: 1, lag: 150, length: 4 * time.Second}.run(t, func(*testLeader) {})
		assertVoters(t, l, ids("abc")...)
	})
}

// Guards against a host that is stopped for good after its successor has caught up and keeps its vote for the time until
// it is found silent. Losses that are to be tolerated may come at once, and between any two steps.
func TestLeave(t *testing.T) {
	for name, c := range map[string]struct {
		voterCase
		want []ledger.MemberID
	}{
		"one of three": {voterCase{voters: ids("bc"), joining: ids("d"), stops: ids("c"), faults: 1}, ids("abd")},
		"one of five":  {voterCase{voters: ids("bcde"), joining: ids("f"), stops: ids("c"), faults: 2}, ids("abdef")},
		"one of seven": {
			voterCase{voters: ids("bcdefg"), joining: ids("h"), stops: ids("c"), faults: 2}, ids("abdefgh"),
		},
		"no spare": {voterCase{voters: ids("bc"), stops: ids("c"), faults: 1}, ids("abc")},
	} {
		t.Run(name, func(t *testing.T) {
			c.length = 500 * time.Millisecond
			assertVoters(t, c.run(t, func(l *testLeader) { assertMajority(t, l, nil, c.faults) }), c.want...)
		})
	}
	t.Run("a host that has stopped is not promoted", func(t *testing.T) {
		l := voterCase{voters: ids("bc"), joining: ids("de"), stops: ids("de"), faults: 1, length: 3 * time.Second}.run(t, func(*testLeader) {})
		assertVoters(t, l, ids("abc")...)
	})
}

// Guards against a membership that grows with each host that is replaced, and against a removed host that never returns.
func TestRemovalOfLostNonVoter(t *testing.T) {
	l := voterCase{voters: ids("bc"), joining: ids("d"), faults: 1, length: time.Second}.run(t, func(*testLeader) {})
	for n := range 620 {
		l.now = l.now.Add(100 * time.Millisecond)
		l.core.Step(l.now, l.random, ledger.NewPersisted(uint64(10_000+n)))
		for _, id := range ids("bc") {
			reply := ledger.NewMatchReply(l.core.Term(), uint64(10_000+n), l.now.Sub(l.epoch), l.core.LastIndex())
			l.core.Step(l.now, l.random, ledger.NewReceive(id, reply))
		}
	}
	_, known := l.core.Membership().Find("d")
	assert.False(t, known)
	l.core.Step(l.now, l.random, ledger.NewReceive("d", ledger.NewJoin("d")))
	_, known = l.core.Membership().Find("d")
	assert.True(t, known)
}

// ids returns an id for each letter.
func ids(letters string) (list []ledger.MemberID) {
	for _, l := range letters {
		list = append(list, ledger.MemberID(string(l)))
	}
	return list
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
