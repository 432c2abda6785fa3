package gang_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/gang"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/task"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// driver steps one started gang and records the orders that Step sends as sent.
type driver struct {
	job      job.Job
	progress gang.Progress
	now      time.Time
}

// newDriver returns the driver of a gang whose members have all accepted their start.
func newDriver(t *testing.T, members int) *driver {
	t.Helper()
	shape, err := workspace.NewShape(members, 1, workspace.Anywhere)
	require.NoError(t, err)
	spec, err := job.NewSpec("j", "team", shape, startTime)
	require.NoError(t, err)
	var placed []job.Member
	for i := range members {
		placed = append(placed, job.NewMember(i, "w", 1))
	}
	j := job.New(spec).Reserve(lease.FencingToken(7), placed).WithLeaseDuration(leaseDuration)
	d := &driver{job: j, progress: gang.NewProgress(j, 1, startTime), now: startTime}
	for range 2 {
		for _, o := range d.step() {
			d.accept(o)
		}
		d.job = j.Start()
	}
	return d
}

// step returns the orders that are due and records them as sent.
func (d *driver) step() (orders []task.Order) {
	for _, a := range gang.Step(d.job, d.progress, d.now) {
		if o, ok := a.(gang.Send); ok {
			d.progress = d.progress.WithSent(task.IDOf(o.Order()).Index(), o.Order(), d.now)
			orders = append(orders, o.Order())
		}
	}
	return orders
}

func (d *driver) accept(o task.Order) {
	d.progress = d.progress.WithReply(task.IDOf(o).Index(), o, task.NewReply(task.Accepted, ""), d.now)
}

// throttle changes the speed 4 s later, when orders that were not accepted are sent again, and returns the first order
// that is due then.
func (d *driver) throttle(t *testing.T, to job.Speed) task.Order {
	t.Helper()
	d.job, d.now = d.job.Throttle(to, ""), d.now.Add(4*time.Second)
	orders := d.step()
	require.NotEmpty(t, orders)
	return orders[0]
}
