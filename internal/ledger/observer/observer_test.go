package observer

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/ledger"
	"rosemarywind.example/rosemarywind/internal/ledger/driver"
	"rosemarywind.example/rosemarywind/internal/telemetry"
)

// observed is an observer of one core, with the log lines that it has written.
type observed struct {
	core     *ledger.Core
	now      time.Time
	random   *rand.Rand
	observer *Observer
	registry *telemetry.Registry
	log      bytes.Buffer
}

// newObserved returns the observer of the member a, in a membership of which a, b and c are voters by default.
func newObserved(members ...ledger.Member) *observed {
	if len(members) == 0 {
		members = []ledger.Member{
			ledger.NewMember("a", "a", true), ledger.NewMember("b", "10.0.0.2:1", true), ledger.NewMember("c", "c", true),
		}
	}
	o := &observed{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 1)), registry: telemetry.NewRegistry()}
	saved := ledger.NewPersistentState(ledger.NewHardState("a", 2, ""),
		ledger.NewSnapshot(0, 0, ledger.NewMembership(members...), nil), nil)
	o.core = ledger.NewCore(saved, "a", ledger.DefaultTiming(), o.now, o.random)
	logger := hclog.New(&hclog.LoggerOptions{Output: &o.log, JSONFormat: true, JSONEscapeDisabled: true})
	o.observer = New(logger, o.registry)
	return o
}

func (o *observed) observe() { o.observer.Observe(o.now, driver.NewStatus(o.core, 0)) }

// step passes an input to the core, completes the writes that follow and observes the status.
func (o *observed) step(in ledger.Input) {
	for _, e := range o.core.Step(o.now, o.random, in) {
		if p, ok := e.(ledger.Persist); ok {
			o.core.Step(o.now, o.random, ledger.NewPersisted(p.Sequence()))
		}
	}
	o.observe()
}

func (o *observed) receive(from ledger.MemberID, m ledger.Message) {
	o.step(ledger.NewReceive(from, m))
}

// wake lets the timeout of the core pass.
func (o *observed) wake() {
	o.now = o.core.Wake()
	o.step(ledger.Tick{})
}

// lines returns the fields of the log lines with the message.
func (o *observed) lines(t *testing.T, message string) (found []map[string]any) {
	t.Helper()
	for d := json.NewDecoder(bytes.NewReader(o.log.Bytes())); d.More(); {
		var line map[string]any
		require.NoError(t, d.Decode(&line))
		if line["@message"] == message {
			found = append(found, line)
		}
	}
	return found
}

// Guards against elections that fail for a reason that an operator cannot see.
func TestElectionLog(t *testing.T) {
	t.Run("timed out", func(t *testing.T) {
		o := newObserved()
		o.wake()
		o.receive("c", ledger.NewPreVoteReply(3, 2, false).WithReason(ledger.LogBehind))
		o.wake()
		lines := o.lines(t, "election")
		require.Len(t, lines, 1)
		assertFields(t, lines[0], map[string]any{
			"@level": "warn", "self": "a", "outcome": "timed-out", "phase": "pre-vote", "term": 3.0, "log_index": 0.0,
			"log_term": 0.0, "majority": 2.0, "asked": "b c", "granted": "a", "refused": "c=log-behind",
			"unanswered": "b@10.0.0.2:1", "omitted": 0.0,
		})
	})
	t.Run("won", func(t *testing.T) {
		o := newObserved()
		o.wake()
		o.receive("c", ledger.NewPreVoteReply(3, 2, true))
		o.receive("c", ledger.NewRequestVoteReply(3, true))
		lines := o.lines(t, "election")
		require.Len(t, lines, 1)
		assertFields(t, lines[0], map[string]any{
			"@level": "info", "outcome": "won", "phase": "vote", "granted": "a c", "refused": "", "unanswered": "b@10.0.0.2:1",
		})
	})
	t.Run("lost", func(t *testing.T) {
		o := newObserved()
		o.wake()
		o.receive("c", ledger.NewAppendEntries(3, 0, 0, nil, 0, 1, 0))
		lines := o.lines(t, "election")
		require.Len(t, lines, 1)
		assertFields(t, lines[0], map[string]any{"@level": "info", "outcome": "lost"})
	})
}

// Guards against a log that elections which fail for hours fill up, or that hides how many there were.
func TestElectionLogIsBounded(t *testing.T) {
	o := newObserved()
	o.wake()
	startedAt := o.now
	for o.now.Sub(startedAt) < 20*time.Second {
		o.wake()
	}
	lines := o.lines(t, "election")
	assert.LessOrEqual(t, len(lines), 21)
	assert.GreaterOrEqual(t, len(lines), 15)
	o.now = o.now.Add(electionLogInterval)
	o.observe()
	lines = o.lines(t, "election")
	logged := 0.0
	for _, l := range lines {
		logged += 1 + l["omitted"].(float64)
	}
	assert.InDelta(t, o.core.Elections().Failed(), logged, 0, "attempts that the lines account for")
	t.Run("won at once", func(t *testing.T) {
		o.receive("c", ledger.NewPreVoteReply(3, 2, true))
		o.receive("c", ledger.NewRequestVoteReply(3, true))
		assert.Len(t, o.lines(t, "election"), len(lines)+1)
	})
	t.Run("last failure is logged when the bound allows it", func(t *testing.T) {
		o := newObserved()
		o.wake()
		o.wake()
		o.wake()
		require.Len(t, o.lines(t, "election"), 1)
		o.now = o.now.Add(electionLogInterval)
		o.observe()
		lines := o.lines(t, "election")
		require.Len(t, lines, 2)
		assertFields(t, lines[1], map[string]any{"omitted": 0.0})
		o.now = o.now.Add(electionLogInterval)
		o.observe()
		assert.Len(t, o.lines(t, "election"), 2)
	})
}

// Guards against counters that miss attempts or answers, or count them twice.
func TestElectionMetrics(t *testing.T) {
	o := newObserved()
	o.receive("b", ledger.NewPreVote(3, 0, 0))
	o.now = o.core.Wake().Add(-time.Millisecond)
	o.receive("b", ledger.NewPreVote(3, 0, 0))
	o.receive("b", ledger.NewPreVote(1, 0, 0))
	o.receive("b", ledger.NewRequestVote(1, 0, 0, false))
	o.wake()
	o.wake()
	o.receive("c", ledger.NewPreVoteReply(3, 2, true))
	o.receive("c", ledger.NewRequestVoteReply(3, true))
	o.receive("b", ledger.NewPreVote(9, 0, 0))
	o.observe()
	for name, want := range map[string]int64{
		StartedMetric: 2, WonMetric: 1, FailedMetric: 1, GrantedMetric: 1,
		RefusedMetric + "lease-held": 1, RefusedMetric + "stale-term": 2, RefusedMetric + "is-leader": 1,
		RefusedMetric + "log-behind": 0, RefusedMetric + "voted-for-another": 0,
	} {
		assert.Equal(t, want, o.registry.Values()[name]["count"], name)
	}
}

// Guards against a host without a vote that an operator takes for one that counts in a majority.
func TestJoiningLog(t *testing.T) {
	t.Run("undecided", func(t *testing.T) {
		o := newObserved()
		o.observer.Observe(o.now, driver.NewProbingStatus(driver.NewProbing([]string{"c"}, []string{"b", "d"})))
		lines := o.lines(t, "joining")
		require.Len(t, lines, 1)
		assertFields(t, lines[0], map[string]any{"state": "undecided", "answered": "c", "unanswered": "b d"})
		assert.Equal(t, int64(2), o.registry.Values()[ProbesMetric]["value"])
	})
	t.Run("not a member", func(t *testing.T) {
		o := newObserved(ledger.NewMember("b", "b", true))
		o.observe()
		lines := o.lines(t, "joining")
		require.Len(t, lines, 1)
		assertFields(t, lines[0], map[string]any{"state": "not-a-member", "self": "a", "members": "b*"})
	})
	t.Run("non-voter, at bounded intervals", func(t *testing.T) {
		o := newObserved(ledger.NewMember("a", "a", false), ledger.NewMember("b", "b", true))
		for range 121 {
			o.observe()
			o.now = o.now.Add(100 * time.Millisecond)
		}
		lines := o.lines(t, "joining")
		require.Len(t, lines, 3)
		assertFields(t, lines[2], map[string]any{
			"state": "non-voter", "self": "a", "members": "a b*", "waited_ms": 10000.0,
		})
		assert.Equal(t, int64(12), o.registry.Values()[WithoutVoteMetric]["value"])
	})
	t.Run("voter", func(t *testing.T) {
		o := newObserved()
		o.observe()
		assert.Empty(t, o.lines(t, "joining"))
		assert.Zero(t, o.registry.Values()[WithoutVoteMetric]["value"])
	})
	t.Run("before the start", func(t *testing.T) {
		o := newObserved()
		o.observer.Observe(o.now, driver.NewProbingStatus(driver.Probing{}))
		assert.Empty(t, o.lines(t, "joining"))
	})
}

// Guards against a change of an address or a vote that leaves no trace in the log.
func TestMembershipLog(t *testing.T) {
	o := newObserved()
	change := func(term, index uint64, members ...ledger.Member) {
		entry := ledger.NewConfigEntry(index, term, ledger.NewMembership(members...))
		o.receive("b", ledger.NewAppendEntries(term, index-1, min(term, (index-1)*term), []ledger.Entry{entry}, 0, index, 0))
	}
	a, b, c := ledger.NewMember("a", "a", true), ledger.NewMember("b", "10.0.0.2:1", true), ledger.NewMember("c", "c", true)
	o.observe()
	change(2, 1, a, b, c)
	change(2, 2, a, b, ledger.NewMember("c", "10.0.0.9:1", true))
	change(2, 3, a, b, ledger.NewMember("c", "10.0.0.9:1", false))
	change(2, 4, a, b, ledger.NewMember("c", "10.0.0.9:1", false))
	lines := o.lines(t, "membership")
	require.Len(t, lines, 4)
	assertFields(t, lines[0], map[string]any{"leader": "", "members": "a* b@10.0.0.2:1* c*", "voters": 3.0})
	assertFields(t, lines[1], map[string]any{"leader": "10.0.0.2:1", "members": "a* b@10.0.0.2:1* c*"})
	assertFields(t, lines[2], map[string]any{"members": "a* b@10.0.0.2:1* c@10.0.0.9:1*"})
	assertFields(t, lines[3], map[string]any{
		"members": "a* b@10.0.0.2:1* c@10.0.0.9:1", "voters": 2.0, "non_voters": 1.0,
	})
	t.Run("address that the ID begins with", func(t *testing.T) {
		assert.Equal(t, "10.0.0.2:1-00ab", formatMember(ledger.NewMember("10.0.0.2:1-00ab", "10.0.0.2:1", true)))
		assert.Equal(t, "10.0.0.2:1-00ab@10.0.0.3:1", formatMember(ledger.NewMember("10.0.0.2:1-00ab", "10.0.0.3:1", true)))
		assert.Equal(t, "10.0.0.2:12@10.0.0.2:1", formatMember(ledger.NewMember("10.0.0.2:12", "10.0.0.2:1", true)))
	})
}

// assertFields asserts that a log line has at least the given fields.
func assertFields(t *testing.T, line, want map[string]any) {
	t.Helper()
	for name, value := range want {
		assert.Equal(t, value, line[name], "field %s", name)
	}
}

// newLeading returns the observer of the member a, which c has elected.
func newLeading(t *testing.T, members ...ledger.Member) *observed {
	t.Helper()
	o := newObserved(members...)
	o.wake()
	o.receive("c", ledger.NewPreVoteReply(3, 2, true))
	o.receive("c", ledger.NewRequestVoteReply(3, true))
	require.Equal(t, ledger.Leader, o.core.Role())
	return o
}

// quorumFields returns the fields of the last line "quorum" that tests compare.
func (o *observed) quorumFields(t *testing.T) []any {
	t.Helper()
	lines := o.lines(t, "quorum")
	require.NotEmpty(t, lines)
	l := lines[len(lines)-1]
	return []any{l["@level"], l["voters"], l["silent"], l["spares"], l["faults_tolerated"]}
}

// Guards against voters that are gone while the leader commits on with the others, so that nobody sees that the next
// loss ends all elections.
func TestQuorumLog(t *testing.T) {
	o := newLeading(t)
	reply := func(from ledger.MemberID) {
		o.receive(from, ledger.NewMatchReply(o.core.Term(), 1, o.now.Sub(time.Unix(1000, 0)), o.core.LastIndex()))
	}
	// pass lets time pass, in which the given members reply.
	pass := func(length time.Duration, from ...ledger.MemberID) {
		for end := o.now.Add(length); o.now.Before(end); {
			o.now = o.now.Add(100 * time.Millisecond)
			for _, id := range from {
				reply(id)
			}
			o.step(ledger.Tick{})
		}
	}
	t.Run("all reply", func(t *testing.T) {
		pass(5*time.Second, "b", "c")
		assert.Len(t, o.lines(t, "quorum"), 1)
		assert.Equal(t, []any{"info", 3.0, "", "", 1.0}, o.quorumFields(t))
	})
	t.Run("a voter is silent", func(t *testing.T) {
		pass(5*time.Second, "c")
		assert.Len(t, o.lines(t, "quorum"), 2)
		assert.Equal(t, []any{"warn", 3.0, "b@10.0.0.2:1", "", 0.0}, o.quorumFields(t))
		assertGauges(t, o, map[string]int64{VotersMetric: 3, SilentMetric: 1, SpareMetric: 0, ToleratedMetric: 0})
	})
	t.Run("it returns", func(t *testing.T) {
		pass(5*time.Second, "b", "c")
		assert.Equal(t, []any{"info", 3.0, "", "", 1.0}, o.quorumFields(t))
		assertGauges(t, o, map[string]int64{VotersMetric: 3, SilentMetric: 0, SpareMetric: 0, ToleratedMetric: 1})
	})
	t.Run("a spare appears", func(t *testing.T) {
		o.receive("d", ledger.NewJoin("d"))
		for range 30 {
			o.receive("d", ledger.NewJoin("d"))
			pass(100*time.Millisecond, "b", "c", "d")
		}
		assert.Equal(t, []any{"info", 3.0, "", "d", 1.0}, o.quorumFields(t))
		assertGauges(t, o, map[string]int64{VotersMetric: 3, SilentMetric: 0, SpareMetric: 1, ToleratedMetric: 1})
	})
	t.Run("bounded", func(t *testing.T) {
		other := newLeading(t, ledger.NewMember("a", "a", true), ledger.NewMember("c", "c", true))
		before := len(o.lines(t, "quorum"))
		for range 500 {
			o.now = o.now.Add(10 * time.Millisecond)
			o.observe()
			o.observer.Observe(o.now, driver.NewStatus(other.core, 0))
		}
		assert.InDelta(t, 5, len(o.lines(t, "quorum"))-before, 1)
	})
	t.Run("leads no more", func(t *testing.T) {
		before := len(o.lines(t, "quorum"))
		o.receive("b", ledger.NewAppendEntries(o.core.Term()+1, 0, 0, nil, 0, 1, 0))
		assert.Len(t, o.lines(t, "quorum"), before)
		assertGauges(t, o, map[string]int64{LeadsMetric: 0, VotersMetric: 0, SilentMetric: 0, ToleratedMetric: 0})
	})
}

func assertGauges(t *testing.T, o *observed, want map[string]int64) {
	t.Helper()
	for name, value := range want {
		assert.Equal(t, value, o.registry.Values()[name]["value"], name)
	}
}
