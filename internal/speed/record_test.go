package speed_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/run"
	"rosemarywind.example/rosemarywind/internal/speed"
)

// handOver returns a fleet whose model has the records of another one's.
func (f *fleet) handOver(age time.Duration) *fleet {
	next := *f
	next.model = speed.NewModel()
	next.now = f.now.Add(age)
	for n := range f.speeds {
		if s, ok := f.model.Record(f.now, f.incarnation(n)); ok {
			next.model.Restore(next.now, "s", s.Older(age))
		}
	}
	return &next
}

// Guards against a new leader that has to learn all speeds again.
func TestRestore(t *testing.T) {
	f := newFleet(7, 66, 0.6, 1, 1.6)
	f.play(80, 5)
	assertLearned(t, f)
	t.Run("at once", func(t *testing.T) {
		next := f.handOver(time.Second)
		assertLearned(t, next)
		assert.InEpsilon(t, f.of(0).Relative(), next.of(0).Relative(), 0.2)
	})
	t.Run("less certain after hours", func(t *testing.T) {
		assertAllNormal(t, f.handOver(5*time.Hour))
	})
	t.Run("alike workers stay alike", func(t *testing.T) {
		for seed := range uint64(5) {
			alike := newFleet(seed, 70, 1)
			alike.play(60, 6)
			next := alike.handOver(time.Second)
			assertAllNormal(t, next)
			next.play(20, 6)
			assertAllNormal(t, next)
		}
	})
	t.Run("no record of a worker without observations", func(t *testing.T) {
		_, ok := speed.NewModel().Record(f.now, f.incarnation(0))
		assert.False(t, ok)
	})
	t.Run("own observations count more than a record", func(t *testing.T) {
		before := f.of(0)
		f.model.Restore(f.now, "s", run.NewSpeed(f.incarnation(0), 2, 0.2, 16, 0))
		assert.Equal(t, before, f.of(0))
	})
}

// Guards against a malformed record that makes all estimates unusable.
func TestMalformedRecord(t *testing.T) {
	for name, s := range map[string]run.Speed{
		"not a number":           run.NewSpeed(newFleet(1, 1, 1).incarnation(0), math.NaN(), 0.2, 5, time.Second),
		"weight not a number":    run.NewSpeed(newFleet(1, 1, 1).incarnation(0), 1, 0.2, math.NaN(), time.Second),
		"agreement not a number": run.NewSpeed(newFleet(1, 1, 1).incarnation(0), 1, math.NaN(), 5, time.Second),
		"infinite":               run.NewSpeed(newFleet(1, 1, 1).incarnation(0), math.Inf(1), 0.2, 5, time.Second),
		"infinite weight":        run.NewSpeed(newFleet(1, 1, 1).incarnation(0), 1, 0.2, math.Inf(1), time.Second),
		"negative weight":        run.NewSpeed(newFleet(1, 1, 1).incarnation(0), 1, 0.2, -1, time.Second),
		"negative age":           run.NewSpeed(newFleet(1, 1, 1).incarnation(0), 1, 0.2, 5, -time.Hour),
		"beyond any worker":      run.NewSpeed(newFleet(1, 1, 1).incarnation(0), 50, 0.2, 5, time.Second),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1, 12, 1)
			f.model.Restore(f.now, "s", s)
			f.play(10, 5)
			assertAllNormal(t, f)
		})
	}
}
