package gang_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/gang"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/task"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// newReserving returns the driver of a gang of two that is reserved and of which no member has answered.
func newReserving(t *testing.T) *driver {
	t.Helper()
	shape, err := workspace.NewShape(2, 1, workspace.Anywhere)
	require.NoError(t, err)
	spec, err := job.NewSpec("j", "team", shape, startTime)
	require.NoError(t, err)
	j := job.New(spec).Reserve(lease.FencingToken(7), []job.Member{job.NewMember(0, "w", 1), job.NewMember(1, "w", 1)}).
		WithLeaseDuration(leaseDuration)
	return &driver{job: j, progress: gang.NewProgress(j, 1, startTime), now: startTime}
}

// commit carries out the decisions that change the job.
func (d *driver) commit() {
	for _, a := range gang.Step(d.job, d.progress, d.now) {
		switch a := a.(type) {
		case gang.Start:
			d.job = d.job.Start()
		case gang.Stop:
			d.job = d.job.Stop(a.Reason())
		case gang.Send, gang.MarkThrottled, gang.Requeue, gang.End:
		}
	}
}

func (d *driver) report(index int, state task.State) {
	d.progress = d.progress.WithReport(task.NewReport(task.NewID("j", index), d.progress.FencingToken(), state))
}

// countStarts returns the orders to start of the next 20 s, of which no member answers any.
func (d *driver) countStarts() (n int) {
	for range 200 {
		d.commit()
		for _, o := range d.step() {
			if _, ok := o.(task.Start); ok {
				n++
			}
		}
		d.now = d.now.Add(tick)
	}
	return n
}

// TestEvacuatedMember guards against a member that is ordered to start after its availability zone was evacuated, and against
// a gang at work that is stopped because of an evacuation.
func TestEvacuatedMember(t *testing.T) {
	t.Run("at any time of a placement whose first orders are lost", func(t *testing.T) {
		latest := time.Duration(0)
		for after := time.Duration(0); after < 12*time.Second; after += tick {
			t.Run(fmt.Sprint(after), func(t *testing.T) {
				d, lost, begun := newReserving(t), map[string]bool{}, false
				evacuated := startTime.Add(after)
				for range 200 {
					if d.now.Equal(evacuated) {
						d.progress = d.progress.WithEvacuated(1, true)
					}
					d.commit()
					for _, o := range d.step() {
						_, starts := o.(task.Start)
						if starts {
							latest = max(latest, d.now.Sub(startTime))
							assert.True(t, d.now.Before(evacuated), "member %d is ordered to start", task.IDOf(o).Index())
						}
						if kind := fmt.Sprintf("%T", o); task.IDOf(o).Index() == 1 && !lost[kind] {
							lost[kind] = true
							continue
						}
						d.accept(o)
						begun = begun || starts && task.IDOf(o).Index() == 1
					}
					d.now = d.now.Add(tick)
				}
				if begun {
					assert.Equal(t, job.Started, d.job.State(), "it has begun")
				} else {
					assert.Equal(t, job.Stopping, d.job.State())
				}
			})
		}
		assert.Greater(t, latest, 5*time.Second, "the first order is lost, and the next one is late")
	})
	t.Run("both have begun", func(t *testing.T) {
		d := newDriver(t, 2)
		for i := range 2 {
			d.progress = d.progress.WithEvacuated(i, true)
		}
		d.commit()
		assert.Equal(t, job.Started, d.job.State())
	})
	t.Run("begun, by a report that is earlier than the answer", func(t *testing.T) {
		d := newReserving(t)
		for range 2 {
			for _, o := range d.step() {
				if _, ok := o.(task.Start); !ok {
					d.accept(o)
				}
			}
			d.commit()
		}
		d.report(1, task.Running)
		d.progress = d.progress.WithEvacuated(1, true)
		d.commit()
		assert.Equal(t, job.Started, d.job.State())
	})
	adopted := func(t *testing.T, state task.State) *driver {
		d := newDriver(t, 2)
		d.takeOver(2)
		d.progress = d.progress.WithEvacuated(0, true).WithEvacuated(1, true)
		for i := range 2 {
			d.report(i, state)
		}
		for _, o := range d.step() {
			d.accept(o)
		}
		return d
	}
	t.Run("another leader, at work", func(t *testing.T) {
		d := adopted(t, task.Running)
		d.now = d.now.Add(leaseDuration / 4)
		assert.NotEmpty(t, d.step(), "its lease is renewed")
		d.commit()
		assert.Equal(t, job.Started, d.job.State())
	})
	t.Run("another leader, not begun", func(t *testing.T) {
		d := adopted(t, task.Reserved)
		assert.Zero(t, d.countStarts())
		assert.Equal(t, job.Stopping, d.job.State())
	})
}
