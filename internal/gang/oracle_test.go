package gang_test

import (
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/task"
)

// maxPartialRun is how long a member may run after another member of its gang was lost: the time until the leader notices
// (the pause between renewals, two sends of one, a report, an expired announcement) and one lease with its clock margin of
// 5%.
const maxPartialRun = leaseDuration/4 + 2*4*time.Second + 3*time.Second + unreachableAfter + leaseDuration*105/100 + tick

// reservation identifies a reservation of a job by its fencing token.
type reservation struct {
	job          string
	fencingToken lease.FencingToken
}

// oracle records what happens at the workers and fails the test if it breaks a rule.
type oracle struct {
	t         require.TestingT
	reserved  map[reservation]map[int]bool
	ran       map[string]map[lease.FencingToken]bool
	succeeded map[reservation]map[int]bool
	released  map[reservation]bool
	// lostAt is when each member was lost; a new reservation of the member removes it.
	lostAt          map[reservation]map[int]time.Time
	running         map[reservation]bool
	mixedSpeedSince map[reservation]time.Time
}

func newOracle(t require.TestingT) *oracle {
	return &oracle{
		t: t, reserved: map[reservation]map[int]bool{}, ran: map[string]map[lease.FencingToken]bool{},
		succeeded: map[reservation]map[int]bool{}, released: map[reservation]bool{}, lostAt: map[reservation]map[int]time.Time{},
		mixedSpeedSince: map[reservation]time.Time{},
	}
}

// recordReservation records an order if it is a reservation that the worker accepted.
func (o *oracle) recordReservation(order task.Order, refusal string) {
	if t, ok := order.(task.Reserve); ok && refusal == "" {
		k := reservation{t.ID().Job(), t.FencingToken()}
		if o.reserved[k] == nil {
			o.reserved[k] = map[int]bool{}
		}
		o.reserved[k][t.ID().Index()] = true
		// A restarted worker has no record of the reservation and accepts it again; it refuses one that has ended there.
		delete(o.lostAt[k], t.ID().Index())
	}
}

// checkStart fails if a job is committed as started before all its members were reserved; it should be queued again.
func (o *oracle) checkStart(j job.Job) {
	k := reservation{j.Spec().ID(), j.FencingToken()}
	require.Len(o.t, o.reserved[k], j.Spec().Shape().Members(), "%v is committed as started before all members were reserved", k)
}

// checkRelease records the end of a reservation, after which other jobs may get its accelerators, and fails if the result
// does not fit what ran.
func (o *oracle) checkRelease(j job.Job, result job.Result) {
	k := reservation{j.Spec().ID(), j.FencingToken()}
	o.released[k] = true
	switch result {
	case job.Succeeded:
		require.Len(o.t, o.succeeded[k], j.Spec().Shape().Members(), "%v succeeded without all of its members", k)
	case job.Unfinished, job.Rejected:
		require.True(o.t, j.Spec().Idempotent() || len(o.ran[k.job]) == 0, "%v ran, is not idempotent and was queued again", k)
	case job.Failed, job.Cancelled, job.MayHaveRun:
	}
}

// observe records the state of each task; a frozen worker runs nothing.
func (o *oracle) observe(s *simulation) {
	o.running = map[reservation]bool{}
	fullSpeed, throttled := map[reservation]bool{}, map[reservation]bool{}
	for _, w := range s.workers {
		if held := w.host.HeldAccelerators(); held > acceleratorsPerWorker {
			require.Fail(o.t, "accelerators assigned to two tasks", "worker %s holds %d of %d", w.name, held, acceleratorsPerWorker)
		}
		if w.frozen {
			continue
		}
		for _, r := range w.reports {
			k := reservation{r.ID().Job(), r.FencingToken()}
			o.recordReport(k, r, s.now)
			if r.State() == task.Running {
				o.running[k] = true
				fullSpeed[k] = fullSpeed[k] || w.host.HeldAcceleratorsOf(r.ID(), r.FencingToken()) > 0
				throttled[k] = throttled[k] || w.host.HeldAcceleratorsOf(r.ID(), r.FencingToken()) == 0
			}
		}
	}
	for k := range o.running {
		if !fullSpeed[k] || !throttled[k] {
			delete(o.mixedSpeedSince, k)
		} else if _, known := o.mixedSpeedSince[k]; !known {
			o.mixedSpeedSince[k] = s.now
		}
	}
}

// check fails if a task runs that must not run, or if a throttled job holds accelerators.
func (o *oracle) check(s *simulation) {
	for k := range o.running {
		j, ok := s.state.Jobs().Get(k.job)
		require.True(o.t, ok)
		assertMayRun(o, k, j, s.now)
	}
	for id, j := range s.state.Unfinished().All() {
		if j.State() == job.Started && j.Speed() == job.Throttled {
			assertHoldsNothing(o, s, id, j)
		}
	}
}

// assertHoldsNothing fails if a member of a throttled gang, whose accelerators other jobs may get, holds any.
func assertHoldsNothing(o *oracle, s *simulation, id string, j job.Job) {
	for i, m := range j.Members() {
		if held := s.worker(m.Worker()).host.HeldAcceleratorsOf(task.NewID(id, i), j.FencingToken()); held > 0 {
			require.Fail(o.t, "throttled job holds accelerators", "member %d of %s", i, id)
		}
	}
}

func (o *oracle) recordReport(k reservation, r task.Report, now time.Time) {
	switch r.State() {
	case task.Running, task.Succeeded:
		if o.ran[k.job] == nil {
			o.ran[k.job] = map[lease.FencingToken]bool{}
		}
		o.ran[k.job][k.fencingToken] = true
		if r.State() == task.Succeeded {
			if o.succeeded[k] == nil {
				o.succeeded[k] = map[int]bool{}
			}
			o.succeeded[k][r.ID().Index()] = true
		}
	case task.Failed, task.Stopped, task.Expired:
		o.recordLoss(k, r.ID().Index(), now)
	case task.Reserved:
	}
}

// recordLoss records when a member was first lost.
func (o *oracle) recordLoss(k reservation, index int, now time.Time) {
	if o.lostAt[k] == nil {
		o.lostAt[k] = map[int]time.Time{}
	}
	if _, known := o.lostAt[k][index]; !known {
		o.lostAt[k][index] = now
	}
}

// assertMayRun fails if no member of the reservation may run now.
func assertMayRun(o *oracle, k reservation, j job.Job, now time.Time) {
	require.Len(o.t, o.reserved[k], j.Spec().Shape().Members(), "%v runs before all members were reserved", k)
	require.False(o.t, o.released[k], "%v runs after its accelerators were released", k)
	if !j.Spec().Idempotent() {
		require.Len(o.t, o.ran[k.job], 1, "job %s is not idempotent and ran under two fencing tokens", k.job)
	}
	if at, mixed := o.mixedSpeedSince[k]; mixed {
		require.LessOrEqual(o.t, now.Sub(at), maxPartialRun, "some members of %v are throttled long after the others run", k)
	}
	for _, at := range o.lostAt[k] {
		assert.LessOrEqual(o.t, now.Sub(at), maxPartialRun, "%v runs long after a member was lost", k)
		if now.Sub(at) > maxPartialRun {
			o.t.FailNow()
		}
	}
}
