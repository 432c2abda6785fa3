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
	recordRetention   = 24 * time.Hour
	responseRetention = 10 * time.Minute
)

// attempt is the expected record of a key.
type attempt struct {
	attemptID     string
	attemptNumber uint64
	fingerprint   string
	outcome       outcome.Outcome
	hasResponse   bool
	updatedAt     time.Time
}

// reply is the result of the first request with a request ID.
type reply struct {
	text       string
	answeredAt time.Time
}

// model applies commands to a state, encoding and decoding them as the ledger does, and checks each result against the
// records that it expects.
type model struct {
	t              *rapid.T
	now            time.Time
	state          registry.State
	revision       uint64
	replies        map[string]reply
	attempts       map[string]attempt
	attemptNumbers map[uint64]bool
	fencingTokens  map[lease.FencingToken]bool
}

// TestRegistryFuzz guards P5 and P8 against a configuration change that takes effect although another one was first, a
// retry that takes effect a second time, a claim that is granted twice, and a snapshot that loses or alters a record.
func TestRegistryFuzz(t *testing.T) {
	steps := fuzzing.NewCounter(t)
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t: t, now: time.Unix(1_767_600_000, 0), state: registry.NewState(), replies: map[string]reply{},
			attempts: map[string]attempt{}, attemptNumbers: map[uint64]bool{}, fencingTokens: map[lease.FencingToken]bool{},
		}
		m.require(registry.NewApplyConfig("", workspace.Diff(workspace.EmptyConfig(), configOf(t, "a", "b")), m.now))
		m.revision = 1
		t.Repeat(steps.CountActions(map[string]func(*rapid.T){
			"configure": m.configure,
			"submit":    m.submit,
			"cancel":    m.cancel,
			"drain":     m.drain,
			"evacuate":  m.evacuate,
			"place":     m.place,
			"run":       m.run,
			"end":       m.end,
			"claim":     m.claim,
			"settle":    m.settle,
			"restart":   m.restart,
			"wait":      func(t *rapid.T) { m.now = m.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "hours")) * time.Hour) },
			"pause": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "minutes")) * time.Minute)
			},
			"expire": m.expire,
			"":       m.check,
		}))
	})
}

// apply encodes and decodes the command, applies it, and encodes and decodes the result.
func (m *model) apply(c registry.Command) registry.Result {
	data, err := wire.EncodeCommand(c)
	require.NoError(m.t, err)
	decoded, err := wire.DecodeCommand(data)
	require.NoError(m.t, err)
	assertSame(m.t, c, decoded)
	next, r := registry.Apply(m.state, decoded)
	require.GreaterOrEqual(m.t, next.Config().Revision(), m.state.Config().Revision(), "the revision decreased")
	m.state = next
	var b bytes.Buffer
	require.NoError(m.t, wire.WriteResult(&b, r))
	again, err := wire.ReadResult(&b)
	require.NoError(m.t, err)
	assertSame(m.t, r, again)
	return r
}

func (m *model) require(c registry.Command) registry.Accepted {
	r := m.apply(c)
	require.IsType(m.t, registry.Accepted{}, r)
	return r.(registry.Accepted)
}

// once applies a command with a request ID and fails if a retry gets another result than the first request, or changes
// the state.
func (m *model) once(scope, id string, c registry.Command) (r registry.Result, first bool) {
	before := dump(m.state)
	r = m.apply(c)
	key := scope + " " + id
	if old, known := m.replies[key]; known {
		require.Equal(m.t, old.text, text(r), "a retry of %s got another result", key)
		require.Equal(m.t, before, dump(m.state), "a retry of %s changed the state", key)
		return r, false
	}
	m.replies[key] = reply{text: text(r), answeredAt: m.now}
	return r, true
}

func (m *model) configure(t *rapid.T) {
	id, base := requestID(t), uint64(max(0, int(m.revision)-rapid.IntRange(0, 2).Draw(t, "behind")))
	next := configOf(t, "a", "b", requestID(t))
	delta := workspace.Diff(m.state.Config().WithRevision(base), next)
	r, first := m.once("apply", id, registry.NewApplyConfig(id, delta, m.now))
	if !first {
		return
	}
	if base == m.revision {
		m.revision++
		require.Equal(t, registry.NewAccepted(m.revision, "", 0), r)
		assertSame(t, *next.WithRevision(m.revision), *m.state.Config())
	} else {
		require.Equal(t, registry.NewConflict(m.revision), r, "a conflict holds the current revision")
	}
	require.Equal(t, m.revision, m.state.Config().Revision())
}

func (m *model) submit(t *rapid.T) {
	id, in := requestID(t), rapid.SampledFrom([]string{"a", "b", "nowhere"}).Draw(t, "workspace")
	shape, err := workspace.NewShape(rapid.IntRange(1, 3).Draw(t, "members"), 1, workspace.SameRack)
	require.NoError(t, err)
	spec, err := job.NewSpec("j-"+id, in, shape, m.now, job.WithIdempotent(rapid.Bool().Draw(t, "idempotent")),
		job.WithRunTime(time.Minute), job.WithPayload("sleep"), job.WithUrgency(job.Urgent), job.WithCheckpointable(true))
	require.NoError(t, err)
	m.once("submit "+in, id, registry.NewSubmitJob(id, spec, m.now))
}

func (m *model) cancel(t *rapid.T) {
	id := requestID(t)
	m.once("cancel", id, registry.NewCancelJob(id, "j-"+requestID(t), "", m.now))
}

func (m *model) drain(t *rapid.T) {
	id := requestID(t)
	m.once("drain", id, registry.NewDrainEndpoint(id, "w1", rapid.Bool().Draw(t, "drained"), m.now))
}

// evacuate orders or ends the evacuation of a zone; an order for an evacuated zone keeps the first one.
func (m *model) evacuate(t *rapid.T) {
	id, zone := requestID(t), rapid.SampledFrom([]string{"z1", "z2"}).Draw(t, "zone")
	evacuated := rapid.Bool().Draw(t, "evacuated")
	before, was := m.state.Evacuations().Get(zone)
	if _, first := m.once(fmt.Sprint("evacuated ", evacuated), id, registry.NewEvacuateZone(id, zone, "reason "+id, evacuated, m.now)); !first {
		return
	}
	after, is := m.state.Evacuations().Get(zone)
	require.Equal(t, evacuated, is)
	if was && is {
		require.Equal(t, before, after, "a second order replaced the first")
	}
}

// place applies one step of a placement, under the current fencing token or the one before it.
func (m *model) place(t *rapid.T) {
	id := "j-" + requestID(t)
	before, _ := m.state.Jobs().Get(id)
	fencingToken := before.FencingToken() - lease.FencingToken(rapid.IntRange(0, int(min(1, before.FencingToken()))).Draw(t, "behind"))
	switch rapid.IntRange(0, 4).Draw(t, "step") {
	case 0:
		if a, ok := m.apply(registry.NewReserveGang(id, []job.Member{job.NewMember(0, "w1", 1)}, time.Minute)).(registry.Accepted); ok {
			require.False(t, m.fencingTokens[a.FencingToken()], "fencing token %d was issued twice", a.FencingToken())
			m.fencingTokens[a.FencingToken()] = true
		}
	case 1:
		m.assertFenced(m.apply(registry.NewStartGang(id, fencingToken)), before, fencingToken)
	case 2:
		m.assertFenced(m.apply(registry.NewStopGang(id, fencingToken, "reclaimed")), before, fencingToken)
	case 4:
		speed := rapid.SampledFrom([]job.Speed{job.Full, job.Throttling, job.Throttled, job.Resumed}).Draw(t, "speed")
		r := m.apply(registry.NewThrottleGang(id, fencingToken, speed, "reclaimed"))
		m.assertFenced(r, before, fencingToken)
		if _, ok := r.(registry.Accepted); ok {
			require.Equal(t, job.Started, before.State())
			require.True(t, speed == before.Speed() || speed.Follows(before.Speed()), "%q after %q", speed, before.Speed())
		}
	case 3:
		r := m.apply(registry.NewRequeueJob(id, fencingToken, "lost", m.now.Add(time.Second)))
		m.assertFenced(r, before, fencingToken)
		if _, ok := r.(registry.Accepted); ok && before.Attempts() > 0 {
			require.True(t, before.Spec().Idempotent(), "%s was started, is not idempotent and was queued again", id)
		}
	}
}

// run reserves and starts all queued jobs.
func (m *model) run(*rapid.T) {
	queued := maps.Collect(m.state.Unfinished().All())
	for _, id := range slices.Sorted(maps.Keys(queued)) {
		if queued[id].State() != job.Queued {
			continue
		}
		a := m.require(registry.NewReserveGang(id, []job.Member{job.NewMember(0, "w1", 1)}, time.Minute))
		require.False(m.t, m.fencingTokens[a.FencingToken()], "fencing token %d was issued twice", a.FencingToken())
		m.fencingTokens[a.FencingToken()] = true
		m.require(registry.NewStartGang(id, a.FencingToken()))
	}
}

func (m *model) assertFenced(r registry.Result, before job.Job, fencingToken lease.FencingToken) {
	if _, ok := r.(registry.Accepted); ok {
		require.True(m.t, before.Placed() && before.FencingToken() == fencingToken, "a step under an old fencing token was accepted")
	}
}

func (m *model) end(t *rapid.T) {
	id := "j-" + requestID(t)
	j, _ := m.state.Jobs().Get(id)
	if _, ok := m.apply(registry.NewEndJob(id, j.FencingToken(), job.Succeeded, "done", m.now)).(registry.Accepted); ok {
		require.NotEqual(t, job.Done, j.State(), "%s ended twice", id)
	}
}

func (m *model) claim(t *rapid.T) {
	key, print := requestID(t), rapid.SampledFrom([]string{"x", "x", "y"}).Draw(t, "fingerprint")
	attemptID := rapid.SampledFrom([]string{"", "one", "two"}).Draw(t, "attempt")
	old, known := m.attempts[key]
	command := registry.NewClaimKey("a", key, print, m.now.Add(time.Minute), m.now).WithAttemptID(attemptID)
	switch r := m.apply(command).(type) {
	case registry.Claimed:
		if known && old.outcome == "" {
			require.True(t, attemptID != "" && attemptID == old.attemptID && print == old.fingerprint, "key %s was granted to another attempt", key)
			require.Equal(t, old.attemptNumber, r.AttemptNumber())
			return
		}
		require.True(t, !known || (old.outcome == outcome.NotRun && old.fingerprint == print), "key %s was granted twice", key)
		require.False(t, m.attemptNumbers[r.AttemptNumber()], "attempt number %d was granted twice", r.AttemptNumber())
		m.attemptNumbers[r.AttemptNumber()] = true
		m.attempts[key] = attempt{attemptNumber: r.AttemptNumber(), fingerprint: print, attemptID: attemptID, updatedAt: m.now}
	case registry.AlreadyClaimed:
		require.True(t, known, "key %s is claimed, but no attempt claimed it", key)
		require.Equal(t, old.attemptNumber, r.Claim().AttemptNumber())
		require.Equal(t, old.outcome, r.Claim().Result().Outcome())
		require.Equal(t, old.hasResponse, r.Claim().Result().HasResponse(), "the response of %s was dropped too early or kept too long", key)
		require.Equal(t, old.fingerprint == print, r.Claim().Fingerprint() == print, "wrong fingerprint under key %s", key)
	case registry.Accepted, registry.Conflict, registry.Denied:
		require.Fail(t, "unexpected result of a claim", text(r))
	}
}

func (m *model) settle(t *rapid.T) {
	key := requestID(t)
	old, known := m.attempts[key]
	number := old.attemptNumber + uint64(rapid.IntRange(0, 1).Draw(t, "ahead"))
	result := registry.NewAttemptResult(rapid.SampledFrom([]outcome.Outcome{outcome.Ran, outcome.NotRun, outcome.MayHaveRun}).Draw(t, "outcome"), 200).
		WithResponse(map[string][]string{"X": {"y", "z"}}, []byte("answer"))
	if _, ok := m.apply(registry.NewSettleKey("a", key, number, result, m.now)).(registry.Accepted); ok {
		require.True(t, known && number == old.attemptNumber && old.outcome == "", "an attempt that is not open was settled")
		old.outcome, old.updatedAt, old.hasResponse = result.Outcome(), m.now, true
		m.attempts[key] = old
	}
}

// restart replaces the state by its decoded snapshot.
func (m *model) restart(*rapid.T) {
	data, err := wire.EncodeState(m.state)
	require.NoError(m.t, err)
	restored, err := wire.DecodeState(data)
	require.NoError(m.t, err)
	require.Equal(m.t, dump(m.state), dump(restored), "the snapshot differs from the state")
	m.state = restored
}

func (m *model) expire(*rapid.T) {
	m.require(registry.NewExpire(m.now.Add(-recordRetention), m.now.Add(-responseRetention)))
	for k, a := range m.attempts {
		final := a.outcome == outcome.Ran || a.outcome == outcome.MayHaveRun
		a.hasResponse = a.hasResponse && (!final || !a.updatedAt.Before(m.now.Add(-responseRetention)))
		m.attempts[k] = a
		if a.updatedAt.Before(m.now.Add(-recordRetention)) {
			delete(m.attempts, k)
		}
	}
	for k, a := range m.replies {
		if a.answeredAt.Before(m.now.Add(-recordRetention)) {
			delete(m.replies, k)
		}
	}
	for _, j := range m.state.Jobs().All() {
		require.False(m.t, j.State() == job.Done && j.EndTime().Before(m.now.Add(-recordRetention)))
	}
}

// check fails if a record or the index of unfinished jobs differs from what is expected after a command.
func (m *model) check(t *rapid.T) {
	require.Equal(t, len(m.attempts), m.state.Claims().Len()+m.state.Archive().Len(), "a record was dropped before 24 h or kept longer")
	require.Equal(t, len(m.replies), m.state.Replies().Len(), "a reply was dropped before 24 h or kept longer")
	unfinished := 0
	for id, j := range m.state.Jobs().All() {
		k, listed := m.state.Unfinished().Get(id)
		require.Equal(t, j.State() != job.Done, listed, "the index of unfinished jobs has the wrong entry for %s", id)
		if listed {
			unfinished++
			assertSame(t, j, k)
		}
	}
	require.Equal(t, unfinished, m.state.Unfinished().Len())
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

// assertSame compares values by their formatted text, in which nil and empty lists are equal.
func assertSame(t require.TestingT, want, got any) {
	assert.Equal(t, text(want), text(got))
	if text(want) != text(got) {
		t.FailNow()
	}
}

func text(v any) string {
	return fmt.Sprintf("%T %+v", v, v)
}

// dump returns the formatted records of a state by kind and key.
func dump(s registry.State) map[string]string {
	d := map[string]string{
		"config": fmt.Sprintf("%+v", *s.Config()), "fencing token": text(s.LatestFencingToken()), "sequence": text(s.Sequence()),
	}
	for k, v := range s.Jobs().All() {
		d["job "+k] = text(v)
	}
	for k, v := range s.Claims().All() {
		d["claim "+k] = text(v)
	}
	for r := range s.Archive().Segments() {
		for _, v := range r {
			d[fmt.Sprintf("archived %x", v.Key())] = text(v)
		}
	}
	for k, v := range s.Replies().All() {
		d["reply "+k] = text(v)
	}
	for k := range s.Drained().All() {
		d["drained "+k] = ""
	}
	for k, v := range s.Evacuations().All() {
		d["evacuated "+k] = fmt.Sprint(v.Zone(), v.Reason(), v.Since().UnixNano())
	}
	return d
}
