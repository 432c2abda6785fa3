package gang_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/gang"
	"rosemarywind.example/rosemarywind/internal/task"
)

// TestAdopt guards against a new leader that keeps a part of a gang running whose rest was lost while nobody led.
func TestAdopt(t *testing.T) {
	t.Run("no lease is extended while a member has not answered", func(t *testing.T) {
		d := newDriver(t, 2)
		d.adopt(2)
		assert.Zero(t, d.extensions(0))
	})
	t.Run("leases are extended once all members have answered", func(t *testing.T) {
		d := newDriver(t, 2)
		d.adopt(2)
		assert.Positive(t, d.extensions(0, 1))
	})
}

// adopt has a new leader take up the gang.
func (d *driver) adopt(term uint64) { d.progress = gang.NewProgress(d.job, term, d.now).Adopted() }

// extensions counts the orders that extend a lease in one lease in which only the given members answer.
func (d *driver) extensions(answering ...int) (n int) {
	for range 19 {
		for _, o := range d.step() {
			if r, ok := o.(task.Renew); ok && r.BaseSequence() != 0 {
				n++
			}
			for _, i := range answering {
				if task.IDOf(o).Index() == i {
					d.accept(o)
				}
			}
		}
		d.now = d.now.Add(leaseLength / 20)
	}
	return n
}
