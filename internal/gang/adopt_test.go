package gang_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/gang"
	"rosemarywind.example/rosemarywind/internal/task"
)

// TestAdopt guards against a new leader that renews the leases of some members of a gang although another member was lost
// while there was no leader.
func TestAdopt(t *testing.T) {
	t.Run("no lease is extended before all members have answered", func(t *testing.T) {
		d := newDriver(t, 2)
		d.takeOver(2)
		assert.Zero(t, d.countExtensions(0))
	})
	t.Run("leases are extended after all members have answered", func(t *testing.T) {
		d := newDriver(t, 2)
		d.takeOver(2)
		assert.Positive(t, d.countExtensions(0, 1))
	})
}

// takeOver replaces the leader by one of the given term, which adopts the gang.
func (d *driver) takeOver(term uint64) { d.progress = gang.NewProgress(d.job, term, d.now).Adopted() }

// countExtensions returns the number of renewals that extend a lease within nearly one lease duration, during which only
// the given members answer.
func (d *driver) countExtensions(answering ...int) (n int) {
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
		d.now = d.now.Add(leaseDuration / 20)
	}
	return n
}
