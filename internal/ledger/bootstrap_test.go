package ledger_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/ledger"
)

// Guards against an empty disk that starts a second log although a message shows that one exists, and against hosts of
// the first start that wait forever because they take an attempt to elect the first leader for a log.
func TestBootstrapMessages(t *testing.T) {
	for name, c := range map[string]struct {
		message ledger.Message
		exists  bool
	}{
		"probe":                                {ledger.Probe{}, false},
		"join":                                 {ledger.NewJoin("d"), false},
		"reply without a term":                 {ledger.NewProbeReply(0, false), false},
		"reply with a term":                    {ledger.NewProbeReply(1, true), true},
		"reply of a joining member":            {ledger.NewProbeReply(0, true), true},
		"pre-vote of the first term":           {ledger.NewPreVote(1, 0, 0), false},
		"pre-vote of the second term":          {ledger.NewPreVote(2, 0, 0), true},
		"reply to a pre-vote of the first one": {ledger.NewPreVoteReply(1, 0, true), false},
		"reply to a pre-vote with a term":      {ledger.NewPreVoteReply(2, 1, false), true},
		"vote":                                 {ledger.NewRequestVote(1, 0, 0, false), true},
		"reply to a vote":                      {ledger.NewRequestVoteReply(1, false), true},
		"heartbeat":                            {ledger.NewAppendEntries(1, 0, 0, nil, 0, 1, 0), true},
		"reply to a heartbeat":                 {ledger.NewMatchReply(1, 1, 0, 0), true},
		"snapshot":                             {ledger.NewInstallSnapshot(1, ledger.Snapshot{}, 1, 0), true},
		"transfer":                             {ledger.NewTimeoutNow(1), true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBootstrap()
			b.RecordMessage(c.message)
			assertDecided(t, b, "", c.exists)
		})
	}
	t.Run("all replies without a term", func(t *testing.T) {
		b := newBootstrap()
		b.RecordReply("b", ledger.NewProbeReply(0, false))
		assertDecided(t, b, "", false)
		b.RecordReply("c", ledger.NewProbeReply(0, false))
		assertDecided(t, b, "a", true)
	})
	t.Run("reply of another seed", func(t *testing.T) {
		b := newBootstrap()
		b.SetSeeds([]string{"d", "a"})
		assertProbed(t, b, "b", "c", "d")
		b.RecordReply("b", ledger.NewProbeReply(0, false))
		b.RecordReply("d", ledger.NewProbeReply(0, false))
		assertProbed(t, b, "b", "c", "d")
		assertDecided(t, b, "", false)
		b.RecordReply("d", ledger.NewProbeReply(3, true))
		assertDecided(t, b, "", true)
	})
}

// Guards against a second log that hosts with empty disks start while the members that have the log are still down, and
// against hosts of the first start that never start the log because they have stored nothing.
func TestDelayedFounding(t *testing.T) {
	const before, after = 6900 * time.Millisecond, 7 * time.Second
	allReplied := func() *ledger.Bootstrap {
		b := newBootstrap()
		b.DelayFounding(startedAt)
		b.RecordReply("b", ledger.NewProbeReply(0, false))
		b.RecordReply("c", ledger.NewProbeReply(0, false))
		return b
	}
	t.Run("a log is started after the delay", func(t *testing.T) {
		b := allReplied()
		_, early := b.Decide(startedAt.Add(before))
		assert.False(t, early)
		saved, ok := b.Decide(startedAt.Add(after))
		assert.True(t, ok)
		assert.Equal(t, ledger.MemberID("a"), saved.HardState().Identity())
	})
	t.Run("a leader is heard meanwhile", func(t *testing.T) {
		b := allReplied()
		b.RecordMessage(ledger.NewAppendEntries(4, 0, 0, nil, 0, 1, 0))
		assertDecided(t, b, "", true)
	})
	t.Run("a seed has learned of the log meanwhile", func(t *testing.T) {
		b := allReplied()
		assertProbed(t, b, "b", "c")
		b.RecordReply("c", ledger.NewProbeReply(0, true))
		assertDecided(t, b, "", true)
	})
}

var startedAt = time.Unix(1000, 0)

const freshID = ledger.MemberID("a-1")

// newBootstrap returns the bootstrap of the initial member a of a, b and c.
func newBootstrap() *ledger.Bootstrap {
	return ledger.NewBootstrap("a", freshID, ledger.NewMembership(
		ledger.NewMember("a", "a", true), ledger.NewMember("b", "b", true), ledger.NewMember("c", "c", true)))
}

// assertDecided checks whether the bootstrap is decided, and for which id; an empty id is the fresh one.
func assertDecided(t *testing.T, b *ledger.Bootstrap, id ledger.MemberID, want bool) {
	t.Helper()
	saved, ok := b.Decide(startedAt)
	assert.Equal(t, want, ok)
	if id == "" {
		id = freshID
	}
	if ok {
		assert.Equal(t, id, saved.HardState().Identity())
	}
}

func assertProbed(t *testing.T, b *ledger.Bootstrap, want ...string) {
	t.Helper()
	var probed []string
	for _, p := range b.Probes() {
		probed = append(probed, p.Address())
	}
	assert.Equal(t, want, probed)
}

// Guards against a second log that is founded because the seeds of a host are successors which have joined no leader
// yet, so that none of them has seen a term.
func TestProbeOfJoiningMember(t *testing.T) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 1))
	initial := ledger.NewSnapshot(0, 0, ledger.NewMembership(
		ledger.NewMember("a", "a", true), ledger.NewMember("b", "b", true), ledger.NewMember("c", "c", true)), nil)
	for name, c := range map[string]struct {
		hard   ledger.HardState
		exists bool
	}{
		"initial member before the first election": {ledger.NewHardState("b", 0, ""), false},
		"initial member with a term":               {ledger.NewHardState("b", 1, ""), true},
		"joining member":                           {ledger.NewHardState("b-1", 0, ""), true},
	} {
		t.Run(name, func(t *testing.T) {
			saved := ledger.NewPersistentState(c.hard, initial, nil)
			core := ledger.NewCore(saved, "b", ledger.DefaultTiming(), now, random)
			for _, e := range core.Step(now, random, ledger.NewReceive("a-1", ledger.Probe{})) {
				if s, ok := e.(ledger.Send); ok && s.To() == "a-1" {
					b := newBootstrap()
					b.RecordReply("b", s.Message().(ledger.ProbeReply))
					assertDecided(t, b, "", c.exists)
					return
				}
			}
			assert.Fail(t, "no reply")
		})
	}
}
