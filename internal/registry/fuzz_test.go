package registry_test

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rosemarywind.example/rosemarywind/internal/fuzzing"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/registry"
	"rosemarywind.example/rosemarywind/internal/wire"
	"rosemarywind.example/rosemarywind/internal/workspace"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

const (
	day = 24 * time.Hour
	// answersKept is how long the answers of attempts are kept.
	answersKept = 10 * time.Minute
)

// attempt is what the oracle knows of a key.
type attempt struct {
	try         string
	number      uint64
	fingerprint string
	ended       outcome.Outcome
	kept        bool
	at          time.Time
}

// answer is the first answer to an operator's request.
type answer struct {
	text string
	at   time.Time
}

// ledger applies commands as the ledger does, through their encoding, and judges each answer.
type ledger struct {
	t        *rapid.T
	now      time.Time
	state    registry.State
	revision uint64
	answers  map[string]answer
	attempts map[string]attempt
	numbers  map[uint64]bool
	fences   map[lease.FencingToken]bool
}

// TestRegistryFuzz guards P5 and P8: a change that lost a race or is sent again, a claim that is granted
// twice, and a snapshot that loses or alters a record.
func TestRegistryFuzz(t *testing.T) {
	steps := fuzzing.NewCounter(t)
	rapid.Check(t, func(t *rapid.T) {
		l := &ledger{
			t: t, now: time.Unix(1_767_600_000, 0), state: registry.NewState(), answers: map[string]answer{},
			attempts: map[string]attempt{}, numbers: map[uint64]bool{}, fences: map[lease.FencingToken]bool{},
		}
		l.require(registry.NewApplyConfig("", workspace.Between(workspace.EmptyConfig(), configOf(t, "a", "b")), l.now))
		l.revision = 1
		t.Repeat(steps.Actions(map[string]func(*rapid.T){
			"configure": l.configure,
			"submit":    l.submit,
			"cancel":    l.cancel,
			"drain":     l.drain,
			"place":     l.place,
			"run":       l.run,
			"end":       l.end,
			"claim":     l.claim,
			"settle":    l.settle,
			"restart":   l.restart,
			"wait":      func(t *rapid.T) { l.now = l.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "hours")) * time.Hour) },
			"pause": func(t *rapid.T) {
				l.now = l.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "minutes")) * time.Minute)
			},
			"expire": l.expire,
			"":       l.check,
		}))
	})
}

// apply passes the command through its encoding and the answer through its own.
func (l *ledger) apply(c registry.Command) registry.Result {
	data, err := wire.EncodeCommand(c)
	require.NoError(l.t, err)
	decoded, err := wire.DecodeCommand(data)
	require.NoError(l.t, err)
	assertSame(l.t, c, decoded)
	next, r := registry.Apply(l.state, decoded)
	require.GreaterOrEqual(l.t, next.Config().Revision(), l.state.Config().Revision(), "the revision went back")
	l.state = next
	var b bytes.Buffer
	require.NoError(l.t, wire.WriteResult(&b, r))
	again, err := wire.ReadResult(&b)
	require.NoError(l.t, err)
	assertSame(l.t, r, again)
	return r
}

func (l *ledger) require(c registry.Command) registry.Accepted {
	r := l.apply(c)
	require.IsType(l.t, registry.Accepted{}, r)
	return r.(registry.Accepted)
}

// once judges a command with a request id: a resend gets the first answer and changes nothing.
func (l *ledger) once(scope, id string, c registry.Command) (r registry.Result, first bool) {
	before := dump(l.state)
	r = l.apply(c)
	key := scope + " " + id
	if old, known := l.answers[key]; known {
		require.Equal(l.t, old.text, text(r), "a resend of %s got another answer", key)
		require.Equal(l.t, before, dump(l.state), "a resend of %s changed the state", key)
		return r, false
	}
	l.answers[key] = answer{text: text(r), at: l.now}
	return r, true
}

func (l *ledger) configure(t *rapid.T) {
	id, base := requestID(t), uint64(max(0, int(l.revision)-rapid.IntRange(0, 2).Draw(t, "behind")))
	next := configOf(t, "a", "b", requestID(t))
	delta := workspace.Between(l.state.Config().WithRevision(base), next)
	r, first := l.once("apply", id, registry.NewApplyConfig(id, delta, l.now))
	if !first {
		return
	}
	if base == l.revision {
		l.revision++
		require.Equal(t, registry.NewAccepted(l.revision, "", 0), r)
		assertSame(t, *next.WithRevision(l.revision), *l.state.Config())
	} else {
		require.Equal(t, registry.NewConflict(l.revision), r, "the loser is told the revision in force")
	}
	require.Equal(t, l.revision, l.state.Config().Revision())
}

func (l *ledger) submit(t *rapid.T) {
	id, in := requestID(t), rapid.SampledFrom([]string{"a", "b", "nowhere"}).Draw(t, "workspace")
	shape, err := workspace.NewShape(rapid.IntRange(1, 3).Draw(t, "members"), 1, workspace.SameRack)
	require.NoError(t, err)
	spec, err := job.NewSpec("j-"+id, in, shape, l.now, job.WithIdempotent(rapid.Bool().Draw(t, "idempotent")),
		job.WithRunTime(time.Minute), job.WithPayload("sleep"), job.WithUrgency(job.Urgent), job.WithCheckpointable(true))
	require.NoError(t, err)
	l.once("submit "+in, id, registry.NewSubmitJob(id, spec, l.now))
}

func (l *ledger) cancel(t *rapid.T) {
	id := requestID(t)
	l.once("cancel", id, registry.NewCancelJob(id, "j-"+requestID(t), "", l.now))
}

func (l *ledger) drain(t *rapid.T) {
	id := requestID(t)
	l.once("drain", id, registry.NewDrainEndpoint(id, "w1", rapid.Bool().Draw(t, "drained"), l.now))
}

// place moves a job one step, under the right fence or an older one.
func (l *ledger) place(t *rapid.T) {
	id := "j-" + requestID(t)
	before, _ := l.state.Jobs().Get(id)
	fence := before.Fence() - lease.FencingToken(rapid.IntRange(0, int(min(1, before.Fence()))).Draw(t, "behind"))
	switch rapid.IntRange(0, 4).Draw(t, "step") {
	case 0:
		if a, ok := l.apply(registry.NewReserveGang(id, []job.Member{job.NewMember(0, "w1", 1)}, time.Minute)).(registry.Accepted); ok {
			require.False(t, l.fences[a.Fence()], "fence %d was given out twice", a.Fence())
			l.fences[a.Fence()] = true
		}
	case 1:
		l.assertFenced(l.apply(registry.NewStartGang(id, fence)), before, fence)
	case 2:
		l.assertFenced(l.apply(registry.NewStopGang(id, fence, "reclaimed")), before, fence)
	case 4:
		speed := rapid.SampledFrom([]job.Speed{job.Full, job.Slowing, job.Throttled, job.Resumed}).Draw(t, "speed")
		r := l.apply(registry.NewThrottleGang(id, fence, speed, "reclaimed"))
		l.assertFenced(r, before, fence)
		if _, ok := r.(registry.Accepted); ok {
			require.Equal(t, job.Started, before.State())
			require.True(t, speed == before.Speed() || speed.Follows(before.Speed()), "%q after %q", speed, before.Speed())
		}
	case 3:
		r := l.apply(registry.NewRequeueJob(id, fence, "lost", l.now.Add(time.Second)))
		l.assertFenced(r, before, fence)
		if _, ok := r.(registry.Accepted); ok && before.Attempts() > 0 {
			require.True(t, before.Spec().Idempotent(), "%s was started, is not idempotent and waits again", id)
		}
	}
}

// run brings all queued jobs to a start.
func (l *ledger) run(*rapid.T) {
	queued := maps.Collect(l.state.Unfinished().All())
	for _, id := range slices.Sorted(maps.Keys(queued)) {
		if queued[id].State() != job.Queued {
			continue
		}
		a := l.require(registry.NewReserveGang(id, []job.Member{job.NewMember(0, "w1", 1)}, time.Minute))
		require.False(l.t, l.fences[a.Fence()], "fence %d was given out twice", a.Fence())
		l.fences[a.Fence()] = true
		l.require(registry.NewStartGang(id, a.Fence()))
	}
}

func (l *ledger) assertFenced(r registry.Result, before job.Job, fence lease.FencingToken) {
	if _, ok := r.(registry.Accepted); ok {
		require.True(l.t, before.Placed() && before.Fence() == fence, "a step under an old fence was accepted")
	}
}

func (l *ledger) end(t *rapid.T) {
	id := "j-" + requestID(t)
	j, _ := l.state.Jobs().Get(id)
	if _, ok := l.apply(registry.NewEndJob(id, j.Fence(), job.Succeeded, "done", l.now)).(registry.Accepted); ok {
		require.NotEqual(t, job.Done, j.State(), "%s ended twice", id)
	}
}

func (l *ledger) claim(t *rapid.T) {
	key, print := requestID(t), rapid.SampledFrom([]string{"x", "x", "y"}).Draw(t, "fingerprint")
	try := rapid.SampledFrom([]string{"", "one", "two"}).Draw(t, "attempt")
	old, known := l.attempts[key]
	command := registry.NewClaimKey("a", key, print, l.now.Add(time.Minute), l.now).WithAttempt(try)
	switch r := l.apply(command).(type) {
	case registry.Claimed:
		if known && old.ended == "" {
			require.True(t, try != "" && try == old.try && print == old.fingerprint, "key %s was granted to another attempt", key)
			require.Equal(t, old.number, r.Number())
			return
		}
		require.True(t, !known || (old.ended == outcome.NotRun && old.fingerprint == print), "key %s was granted twice", key)
		require.False(t, l.numbers[r.Number()], "number %d was given out twice", r.Number())
		l.numbers[r.Number()] = true
		l.attempts[key] = attempt{number: r.Number(), fingerprint: print, try: try, at: l.now}
	case registry.Known:
		require.True(t, known, "key %s is known without a claim", key)
		require.Equal(t, old.number, r.Claim().Number())
		require.Equal(t, old.ended, r.Claim().Ending().Outcome())
		require.Equal(t, old.kept, r.Claim().Ending().Kept(), "the answer of %s was dropped too early or kept too long", key)
		require.Equal(t, old.fingerprint == print, r.Claim().Fingerprint() == print, "another payload under key %s", key)
	case registry.Accepted, registry.Conflict, registry.Denied:
		require.Fail(t, "unexpected answer to a claim", text(r))
	}
}

func (l *ledger) settle(t *rapid.T) {
	key := requestID(t)
	old, known := l.attempts[key]
	number := old.number + uint64(rapid.IntRange(0, 1).Draw(t, "ahead"))
	ending := registry.NewEnding(rapid.SampledFrom([]outcome.Outcome{outcome.Ran, outcome.NotRun, outcome.MayHaveRun}).Draw(t, "outcome"), 200).
		WithAnswer(map[string][]string{"X": {"y", "z"}}, []byte("answer"))
	if _, ok := l.apply(registry.NewSettleKey("a", key, number, ending, l.now)).(registry.Accepted); ok {
		require.True(t, known && number == old.number && old.ended == "", "an attempt that is not open was settled")
		old.ended, old.at, old.kept = ending.Outcome(), l.now, true
		l.attempts[key] = old
	}
}

// restart goes through a snapshot.
func (l *ledger) restart(*rapid.T) {
	data, err := wire.EncodeState(l.state)
	require.NoError(l.t, err)
	restored, err := wire.DecodeState(data)
	require.NoError(l.t, err)
	require.Equal(l.t, dump(l.state), dump(restored), "the snapshot lost something")
	l.state = restored
}

func (l *ledger) expire(*rapid.T) {
	l.require(registry.NewExpire(l.now.Add(-day), l.now.Add(-answersKept)))
	for k, a := range l.attempts {
		final := a.ended == outcome.Ran || a.ended == outcome.MayHaveRun
		a.kept = a.kept && (!final || !a.at.Before(l.now.Add(-answersKept)))
		l.attempts[k] = a
		if a.at.Before(l.now.Add(-day)) {
			delete(l.attempts, k)
		}
	}
	for k, a := range l.answers {
		if a.at.Before(l.now.Add(-day)) {
			delete(l.answers, k)
		}
	}
	for _, j := range l.state.Jobs().All() {
		require.False(l.t, j.State() == job.Done && j.EndTime().Before(l.now.Add(-day)))
	}
}

// check judges what must hold after each command.
func (l *ledger) check(t *rapid.T) {
	require.Equal(t, len(l.attempts), l.state.Claims().Len()+l.state.Archive().Len(), "a record was dropped before 24 h or kept longer")
	require.Equal(t, len(l.answers), l.state.Replies().Len(), "an answer was dropped before 24 h or kept longer")
	unfinished := 0
	for id, j := range l.state.Jobs().All() {
		k, listed := l.state.Unfinished().Get(id)
		require.Equal(t, j.State() != job.Done, listed, "the index of unfinished jobs is wrong about %s", id)
		if listed {
			unfinished++
			assertSame(t, j, k)
		}
	}
	require.Equal(t, unfinished, l.state.Unfinished().Len())
}

func requestID(t *rapid.T) string {
	return rapid.SampledFrom([]string{"r1", "r2", "r3", "r4", "r5", "r6"}).Draw(t, "id")
}

func configOf(t require.TestingT, names ...string) *workspace.Config {
	var list []workspace.Workspace
	for _, n := range names {
		shape, err := workspace.NewShape(2, 8, workspace.SameZone)
		require.NoError(t, err)
		list = append(list, workspace.New(n, "tenant "+n, shape, workspace.NewLimits(3, 4)).WithTokenDigests([]string{"sha256:00"}))
	}
	e, err := workspace.NewException("worker/w1", "slots", "4", "a fan is broken")
	require.NoError(t, err)
	c, err := workspace.NewConfig(list, map[string]string{"task_lease": "2m"}, []workspace.Exception{e})
	require.NoError(t, err)
	return c
}

// assertSame compares values by their text, in which absent and empty lists are equal.
func assertSame(t require.TestingT, want, got any) {
	assert.Equal(t, text(want), text(got))
	if text(want) != text(got) {
		t.FailNow()
	}
}

func text(v any) string {
	return fmt.Sprintf("%T %+v", v, v)
}

// dump returns the records of a state by their keys.
func dump(s registry.State) map[string]string {
	d := map[string]string{
		"config": fmt.Sprintf("%+v", *s.Config()), "fence": text(s.Fence()), "sequence": text(s.Sequence()),
	}
	for k, v := range s.Jobs().All() {
		d["job "+k] = text(v)
	}
	for k, v := range s.Claims().All() {
		d["claim "+k] = text(v)
	}
	for r := range s.Archive().Runs() {
		for _, v := range r {
			d[fmt.Sprintf("sealed %x", v.Key())] = text(v)
		}
	}
	for k, v := range s.Replies().All() {
		d["reply "+k] = text(v)
	}
	for k := range s.Drained().All() {
		d["drained "+k] = ""
	}
	return d
}
