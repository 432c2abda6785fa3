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

// driver steps one started gang and keeps the orders that were sent.
type driver struct {
	job      job.Job
	progress gang.Progress
	now      time.Time
}

// newDriver returns the driver of a gang whose members have all been started.
func newDriver(t *testing.T, members int) *driver {
	t.Helper()
	shape, err := workspace.NewShape(members, 1, workspace.Anywhere)
	require.NoError(t, err)
	spec, err := job.NewSpec("j", "team", shape, start)
	require.NoError(t, err)
	var placed []job.Member
	for i := range members {
		placed = append(placed, job.NewMember(i, "w", 1))
	}
	j := job.New(spec).Reserve(lease.FencingToken(7), placed).WithLease(leaseLength)
	d := &driver{job: j, progress: gang.NewProgress(j, 1, start), now: start}
	for range 2 {
		for _, o := range d.step() {
			d.accept(o)
		}
		d.job = j.Start()
	}
	return d
}

// step sends what is due.
func (d *driver) step() (orders []task.Order) {
	for _, a := range gang.Step(d.job, d.progress, d.now) {
		if s, ok := a.(gang.Send); ok {
			d.progress = d.progress.WithSent(task.IDOf(s.Order()).Index(), s.Order(), d.now)
			orders = append(orders, s.Order())
		}
	}
	return orders
}

func (d *driver) accept(o task.Order) {
	d.progress = d.progress.WithReply(task.IDOf(o).Index(), o, task.NewReply(task.Accepted, ""), d.now)
}

// throttle changes the speed and returns the first order for it, which is sent once those before it count as lost.
func (d *driver) throttle(t *testing.T, to job.Speed) task.Order {
	t.Helper()
	d.job, d.now = d.job.Throttle(to, ""), d.now.Add(4*time.Second)
	orders := d.step()
	require.NotEmpty(t, orders)
	return orders[0]
}
