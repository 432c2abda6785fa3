package ledger_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/ledger"
)

// testVoter is a member a of the voters a, b and c in term 2. Its log has one entry of term 1, and the lease that it
// granted before its start has ended.
type testVoter struct {
	core   *ledger.Core
	now    time.Time
	random *rand.Rand
	synced uint64
}

func newVoter(t *testing.T) *testVoter {
	t.Helper()
	members := ledger.NewMembership(
		ledger.NewMember("a", "a", true), ledger.NewMember("b", "b", true), ledger.NewMember("c", "c", true))
	saved := ledger.NewPersistentState(ledger.NewHardState("a", 2, ""), ledger.NewSnapshot(0, 0, members, nil),
		[]ledger.Entry{ledger.NewEntry(1, 1, ledger.Data, nil)})
	v := &testVoter{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 1))}
	v.core = ledger.NewCore(saved, "a", ledger.DefaultTiming(), v.now, v.random)
	v.now = v.now.Add(1060 * time.Millisecond)
	return v
}

// receive passes a message to the member, and completes the writes that follow. It returns all effects.
func (v *testVoter) receive(from ledger.MemberID, m ledger.Message) []ledger.Effect {
	return v.sync(v.core.Step(v.now, v.random, ledger.NewReceive(from, m)))
}

// wake lets the member's timeout pass.
func (v *testVoter) wake() []ledger.Effect {
	v.now = v.core.Wake()
	return v.sync(v.core.Step(v.now, v.random, ledger.Tick{}))
}

func (v *testVoter) sync(effects []ledger.Effect) []ledger.Effect {
	for _, e := range effects {
		if p, ok := e.(ledger.Persist); ok {
			v.synced = p.Sequence()
			return append(effects, v.core.Step(v.now, v.random, ledger.NewPersisted(v.synced))...)
		}
	}
	return effects
}

// Guards against an election that nobody wins for a reason that no log names.
func TestVoteReasons(t *testing.T) {
	heartbeat := ledger.NewAppendEntries(2, 1, 1, nil, 0, 1, 0)
	for name, c := range map[string]struct {
		earlier ledger.Message // received from b before
		request ledger.Message // received from c
		want    ledger.VoteReason
	}{
		"pre-vote granted":             {nil, ledger.NewPreVote(3, 1, 1), ledger.VoteGranted},
		"pre-vote of a stale term":     {nil, ledger.NewPreVote(2, 1, 1), ledger.StaleTerm},
		"pre-vote with a shorter log":  {nil, ledger.NewPreVote(3, 0, 0), ledger.LogBehind},
		"pre-vote under a lease":       {heartbeat, ledger.NewPreVote(3, 1, 1), ledger.LeaseHeld},
		"vote granted":                 {nil, ledger.NewRequestVote(3, 1, 1, false), ledger.VoteGranted},
		"vote of a stale term":         {nil, ledger.NewRequestVote(1, 1, 1, false), ledger.StaleTerm},
		"vote with a shorter log":      {nil, ledger.NewRequestVote(3, 0, 0, false), ledger.LogBehind},
		"vote under a lease":           {heartbeat, ledger.NewRequestVote(3, 1, 1, false), ledger.LeaseHeld},
		"vote under a lease, transfer": {heartbeat, ledger.NewRequestVote(3, 1, 1, true), ledger.VoteGranted},
		"vote given to another": {
			ledger.NewRequestVote(3, 1, 1, false), ledger.NewRequestVote(3, 1, 1, false), ledger.VotedForAnother,
		},
	} {
		t.Run(name, func(t *testing.T) {
			v := newVoter(t)
			if c.earlier != nil {
				v.receive("b", c.earlier)
			}
			before := v.core.Elections()
			assertAnswer(t, c.want, v.receive("c", c.request))
			assertCounted(t, c.want, before, v.core.Elections())
		})
	}
	for name, request := range map[string]ledger.Message{
		"pre-vote at the leader": ledger.NewPreVote(4, 2, 3),
		"vote at the leader":     ledger.NewRequestVote(4, 2, 3, false),
	} {
		t.Run(name, func(t *testing.T) {
			l := newLeader(t)
			before := l.core.Elections()
			assertAnswer(t, ledger.IsLeader, l.core.Step(l.now, l.random, ledger.NewReceive("c", request)))
			assertCounted(t, ledger.IsLeader, before, l.core.Elections())
			assert.Equal(t, ledger.Leader, l.core.Role())
		})
	}
}

// Guards against a refusal that changes the state of the voter or of the candidate, which only the reason was added to.
func TestRefusalDecidesNothing(t *testing.T) {
	t.Run("voter under a lease keeps its term", func(t *testing.T) {
		v := newVoter(t)
		v.receive("b", ledger.NewAppendEntries(2, 1, 1, nil, 0, 1, 0))
		wake := v.core.Wake()
		v.receive("c", ledger.NewRequestVote(9, 1, 1, false))
		assert.Equal(t, uint64(2), v.core.Term())
		assert.Equal(t, wake, v.core.Wake())
	})
	t.Run("reply to a stale request does not raise the candidate's term", func(t *testing.T) {
		v := newVoter(t)
		var terms []uint64
		for _, e := range v.receive("c", ledger.NewRequestVote(1, 1, 1, false)) {
			if s, ok := e.(ledger.Send); ok {
				if m, ok := s.Message().(ledger.RequestVoteReply); ok {
					terms = append(terms, m.Term())
				}
			}
		}
		assert.Equal(t, []uint64{1}, terms)
	})
	t.Run("candidate goes on", func(t *testing.T) {
		v := newVoter(t)
		v.wake()
		v.receive("b", ledger.NewPreVoteReply(3, 2, true))
		wake := v.core.Wake()
		for _, r := range append(ledger.VoteReasons()[1:], "") {
			assert.Empty(t, v.receive("b", ledger.NewRequestVoteReply(3, false).WithReason(r)))
			assert.Equal(t, ledger.Candidate, v.core.Role())
			assert.Equal(t, uint64(3), v.core.Term())
			assert.Equal(t, wake, v.core.Wake())
		}
	})
}

// Guards against a record of an attempt that hides who was asked, who refused and why, and who did not answer.
func TestAttempt(t *testing.T) {
	t.Run("pre-vote times out", func(t *testing.T) {
		v := newVoter(t)
		v.wake()
		v.receive("b", ledger.NewPreVoteReply(3, 2, false).WithReason(ledger.LeaseHeld))
		assertCurrent(t, v, ledger.PreVotePhase, map[ledger.MemberID]ledger.VoteReason{
			"a": ledger.VoteGranted, "b": ledger.LeaseHeld, "c": "",
		})
		v.wake()
		assertEnded(t, v, 1, ledger.PreVotePhase, ledger.AttemptTimedOut, map[ledger.MemberID]ledger.VoteReason{
			"a": ledger.VoteGranted, "b": ledger.LeaseHeld, "c": "",
		})
	})
	t.Run("vote follows the pre-vote and times out", func(t *testing.T) {
		v := newVoter(t)
		v.wake()
		v.receive("b", ledger.NewPreVoteReply(3, 2, true))
		v.receive("c", ledger.NewRequestVoteReply(3, false).WithReason(ledger.VotedForAnother))
		v.wake()
		assertEnded(t, v, 1, ledger.VotePhase, ledger.AttemptTimedOut, map[ledger.MemberID]ledger.VoteReason{
			"a": ledger.VoteGranted, "b": "", "c": ledger.VotedForAnother,
		})
	})
	t.Run("own vote is not synced", func(t *testing.T) {
		v := newVoter(t)
		v.wake()
		v.core.Step(v.now, v.random, ledger.NewReceive("b", ledger.NewPreVoteReply(3, 2, true)))
		assertCurrent(t, v, ledger.VotePhase, map[ledger.MemberID]ledger.VoteReason{"a": "", "b": "", "c": ""})
	})
	t.Run("won", func(t *testing.T) {
		v := newVoter(t)
		v.wake()
		v.receive("b", ledger.NewPreVoteReply(3, 2, true))
		v.receive("b", ledger.NewRequestVoteReply(3, true))
		assertEnded(t, v, 1, ledger.VotePhase, ledger.AttemptWon, map[ledger.MemberID]ledger.VoteReason{
			"a": ledger.VoteGranted, "b": ledger.VoteGranted, "c": "",
		})
		assert.Equal(t, uint64(1), v.core.Elections().Won())
	})
	t.Run("lost to another leader", func(t *testing.T) {
		v := newVoter(t)
		v.wake()
		v.receive("b", ledger.NewAppendEntries(3, 1, 1, nil, 0, 1, 0))
		assertEnded(t, v, 1, ledger.PreVotePhase, ledger.AttemptLost, map[ledger.MemberID]ledger.VoteReason{
			"a": ledger.VoteGranted, "b": "", "c": "",
		})
	})
	t.Run("lost to a later term", func(t *testing.T) {
		v := newVoter(t)
		v.wake()
		v.receive("b", ledger.NewPreVoteReply(3, 7, false).WithReason(ledger.StaleTerm))
		assertEnded(t, v, 1, ledger.PreVotePhase, ledger.AttemptLost, map[ledger.MemberID]ledger.VoteReason{
			"a": ledger.VoteGranted, "b": ledger.StaleTerm, "c": "",
		})
	})
	t.Run("lost to a vote for another candidate", func(t *testing.T) {
		v := newVoter(t)
		v.wake()
		v.receive("b", ledger.NewRequestVote(3, 1, 1, false))
		assertEnded(t, v, 1, ledger.PreVotePhase, ledger.AttemptLost, map[ledger.MemberID]ledger.VoteReason{
			"a": ledger.VoteGranted, "b": "", "c": "",
		})
	})
	t.Run("reply of another version", func(t *testing.T) {
		v := newVoter(t)
		v.wake()
		v.receive("b", ledger.NewPreVoteReply(3, 2, false))
		v.receive("c", ledger.NewPreVoteReply(3, 2, false).WithReason("a later reason"))
		assertCurrent(t, v, ledger.PreVotePhase, map[ledger.MemberID]ledger.VoteReason{
			"a": ledger.VoteGranted, "b": ledger.Unstated, "c": ledger.Unstated,
		})
	})
	t.Run("reply of a member that has no vote", func(t *testing.T) {
		v := newVoter(t)
		v.wake()
		v.receive("d", ledger.NewPreVoteReply(3, 2, false).WithReason(ledger.LeaseHeld))
		assertCurrent(t, v, ledger.PreVotePhase, map[ledger.MemberID]ledger.VoteReason{
			"a": ledger.VoteGranted, "b": "", "c": "",
		})
	})
	t.Run("a transfer begins with the vote", func(t *testing.T) {
		v := newVoter(t)
		v.receive("b", ledger.NewTimeoutNow(2))
		assertCurrent(t, v, ledger.VotePhase, map[ledger.MemberID]ledger.VoteReason{
			"a": ledger.VoteGranted, "b": "", "c": "",
		})
	})
	t.Run("an earlier record does not change", func(t *testing.T) {
		v := newVoter(t)
		v.wake()
		before, _ := v.core.Elections().Current()
		v.receive("b", ledger.NewPreVoteReply(3, 2, false).WithReason(ledger.LeaseHeld))
		assertBallots(t, before, map[ledger.MemberID]ledger.VoteReason{"a": ledger.VoteGranted, "b": "", "c": ""})
	})
	t.Run("attempts are counted", func(t *testing.T) {
		v := newVoter(t)
		for range 5 {
			v.wake()
		}
		e := v.core.Elections()
		assert.Equal(t, uint64(5), e.Started())
		assert.Equal(t, uint64(4), e.Failed())
		assert.Zero(t, e.Won())
	})
}

// voteReply is a reply to a request for a vote or a pre-vote.
type voteReply interface {
	Granted() bool
	Reason() ledger.VoteReason
}

// assertAnswer asserts that the effects send one reply to c, which grants the vote only if want says so.
func assertAnswer(t *testing.T, want ledger.VoteReason, effects []ledger.Effect) {
	t.Helper()
	var replies []voteReply
	for _, e := range effects {
		if s, ok := e.(ledger.Send); ok && s.To() == "c" {
			if m, ok := s.Message().(voteReply); ok {
				replies = append(replies, m)
			}
		}
	}
	require.Len(t, replies, 1)
	assert.Equal(t, want, replies[0].Reason())
	assert.Equal(t, want == ledger.VoteGranted, replies[0].Granted())
}

// assertCounted asserts that one answer was counted, with the given reason.
func assertCounted(t *testing.T, want ledger.VoteReason, before, after ledger.Elections) {
	t.Helper()
	for _, r := range ledger.VoteReasons() {
		grown := uint64(0)
		if r == want {
			grown = 1
		}
		assert.Equal(t, grown, after.Answers(r)-before.Answers(r), "answers with reason %s", r)
	}
}

func assertCurrent(t *testing.T, v *testVoter, phase ledger.AttemptPhase, want map[ledger.MemberID]ledger.VoteReason) {
	t.Helper()
	a, ok := v.core.Elections().Current()
	require.True(t, ok, "no attempt is going on")
	assert.Equal(t, phase, a.Phase())
	assert.Empty(t, a.Outcome())
	assertBallots(t, a, want)
}

func assertEnded(t *testing.T, v *testVoter, number uint64, phase ledger.AttemptPhase, outcome ledger.AttemptOutcome,
	want map[ledger.MemberID]ledger.VoteReason,
) {
	t.Helper()
	a, ok := v.core.Elections().Ended()
	require.True(t, ok, "no attempt has ended")
	index, term := a.Last()
	assert.Equal(t, number, a.Number())
	assert.Equal(t, phase, a.Phase())
	assert.Equal(t, outcome, a.Outcome())
	assert.Equal(t, []uint64{3, 1, 1}, []uint64{a.Term(), index, term}, "term, last index and last term")
	assertBallots(t, a, want)
}

func assertBallots(t *testing.T, a ledger.Attempt, want map[ledger.MemberID]ledger.VoteReason) {
	t.Helper()
	got := map[ledger.MemberID]ledger.VoteReason{}
	for _, b := range a.Ballots() {
		got[b.Voter()] = b.Reason()
	}
	assert.Equal(t, want, got)
}
