package gang_test

import (
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/task"
)

// partialBound is how long a member may run after another one of its gang was lost: the time to notice it
// (a renewal, two sends of it, a report, a lapsed announcement) and then one lease with its margin of 5%.
const partialBound = leaseLength/4 + 2*4*time.Second + 3*time.Second + silenceLimit + leaseLength*105/100 + tick

// run is one reservation of a job.
type run struct {
	job   string
	fence lease.FencingToken
}

// oracle keeps what happened at the workers and judges it.
type oracle struct {
	t         require.TestingT
	reserved  map[run]map[int]bool
	ran       map[string]map[lease.FencingToken]bool
	succeeded map[run]map[int]bool
	gone      map[run]bool
	// lostAt is when each member that is not reserved anew was lost.
	lostAt  map[run]map[int]time.Time
	running map[run]bool
	mixedAt map[run]time.Time
}

func newOracle(t require.TestingT) *oracle {
	return &oracle{
		t: t, reserved: map[run]map[int]bool{}, ran: map[string]map[lease.FencingToken]bool{},
		succeeded: map[run]map[int]bool{}, gone: map[run]bool{}, lostAt: map[run]map[int]time.Time{},
		mixedAt: map[run]time.Time{},
	}
}

// carried notes a reservation that a worker accepted.
func (o *oracle) carried(order task.Order, refusal string) {
	if t, ok := order.(task.Reserve); ok && refusal == "" {
		k := run{t.ID().Job(), t.Fence()}
		if o.reserved[k] == nil {
			o.reserved[k] = map[int]bool{}
		}
		o.reserved[k][t.ID().Index()] = true
		// A restarted worker takes a reservation that it forgot; one that ended there is refused.
		delete(o.lostAt[k], t.ID().Index())
	}
}

// starts judges the commit after which a job may have run; a job of which a part was never reserved must wait again.
func (o *oracle) starts(j job.Job) {
	k := run{j.Spec().ID(), j.Fence()}
	require.Len(o.t, o.reserved[k], j.Spec().Shape().Members(), "%v is committed as started before all members were reserved", k)
}

// released judges the end of a reservation, after which the accelerators may be given away.
func (o *oracle) released(j job.Job, result job.Result) {
	k := run{j.Spec().ID(), j.Fence()}
	o.gone[k] = true
	switch result {
	case job.Succeeded:
		require.Len(o.t, o.succeeded[k], j.Spec().Shape().Members(), "%v succeeded without all of its members", k)
	case job.Unfinished, job.Rejected:
		require.True(o.t, j.Spec().Idempotent() || len(o.ran[k.job]) == 0, "%v ran, is not idempotent and waits again", k)
	case job.Failed, job.Cancelled, job.MayHaveRun:
	}
}

// observe notes the state of each task; a frozen worker runs nothing.
func (o *oracle) observe(w *world) {
	o.running = map[run]bool{}
	atSpeed, waiting := map[run]bool{}, map[run]bool{}
	for _, m := range w.machines {
		if held := m.host.Held(); held > capacity {
			require.Fail(o.t, "accelerators given to two tasks", "worker %s holds %d of %d", m.name, held, capacity)
		}
		if m.frozen {
			continue
		}
		for _, r := range m.reports {
			k := run{r.ID().Job(), r.Fence()}
			o.note(k, r, w.now)
			if r.State() == task.Running {
				o.running[k] = true
				atSpeed[k] = atSpeed[k] || m.host.HeldBy(r.ID(), r.Fence()) > 0
				waiting[k] = waiting[k] || m.host.HeldBy(r.ID(), r.Fence()) == 0
			}
		}
	}
	for k := range o.running {
		if !atSpeed[k] || !waiting[k] {
			delete(o.mixedAt, k)
		} else if _, known := o.mixedAt[k]; !known {
			o.mixedAt[k] = w.now
		}
	}
}

// check judges what runs.
func (o *oracle) check(w *world) {
	for k := range o.running {
		j, ok := w.state.Jobs().Get(k.job)
		require.True(o.t, ok)
		assertMayRun(o, k, j, w.now)
	}
	for id, j := range w.state.Unfinished().All() {
		if j.State() == job.Started && j.Speed() == job.Throttled {
			assertHoldsNothing(o, w, id, j)
		}
	}
}

// assertHoldsNothing judges a gang whose accelerators may be given away because it is throttled.
func assertHoldsNothing(o *oracle, w *world, id string, j job.Job) {
	for i, m := range j.Members() {
		if held := w.find(m.Worker()).host.HeldBy(task.NewID(id, i), j.Fence()); held > 0 {
			require.Fail(o.t, "throttled job holds accelerators", "member %d of %s", i, id)
		}
	}
}

func (o *oracle) note(k run, r task.Report, now time.Time) {
	switch r.State() {
	case task.Running, task.Succeeded:
		if o.ran[k.job] == nil {
			o.ran[k.job] = map[lease.FencingToken]bool{}
		}
		o.ran[k.job][k.fence] = true
		if r.State() == task.Succeeded {
			if o.succeeded[k] == nil {
				o.succeeded[k] = map[int]bool{}
			}
			o.succeeded[k][r.ID().Index()] = true
		}
	case task.Failed, task.Stopped, task.Expired:
		o.lost(k, r.ID().Index(), now)
	case task.Reserved:
	}
}

// lost notes the loss of a member.
func (o *oracle) lost(k run, index int, now time.Time) {
	if o.lostAt[k] == nil {
		o.lostAt[k] = map[int]time.Time{}
	}
	if _, known := o.lostAt[k][index]; !known {
		o.lostAt[k][index] = now
	}
}

// assertMayRun judges one running member of a reservation.
func assertMayRun(o *oracle, k run, j job.Job, now time.Time) {
	require.Len(o.t, o.reserved[k], j.Spec().Shape().Members(), "%v runs before all members were reserved", k)
	require.False(o.t, o.gone[k], "%v runs after its accelerators were given away", k)
	if !j.Spec().Idempotent() {
		require.Len(o.t, o.ran[k.job], 1, "job %s is not idempotent and ran under two fences", k.job)
	}
	if at, mixed := o.mixedAt[k]; mixed {
		require.LessOrEqual(o.t, now.Sub(at), partialBound, "a part of %v waits long after the rest runs", k)
	}
	for _, at := range o.lostAt[k] {
		assert.LessOrEqual(o.t, now.Sub(at), partialBound, "%v runs long after a member was lost", k)
		if now.Sub(at) > partialBound {
			o.t.FailNow()
		}
	}
}
