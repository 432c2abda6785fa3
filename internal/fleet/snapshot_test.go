package fleet_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/fleet"
)

// TestSnapshot guards against a change that alters an earlier snapshot, and against one that resets the load of endpoints.
func TestSnapshot(t *testing.T) {
	t.Run("a change does not alter the earlier snapshot", func(t *testing.T) {
		before := fleet.NewSnapshot(1, endpoints(3))
		after := before.With(2, []fleet.Endpoint{endpoint(1).WithState(fleet.Leaving)}, []string{"w00000"})
		assertReady(t, before, "w00000", "w00001", "w00002")
		assertReady(t, after, "w00002")
	})
	t.Run("a change within an incarnation keeps the load", func(t *testing.T) {
		before := fleet.NewSnapshot(1, endpoints(2))
		before.All()[0].Load().Begin()
		after := before.With(2, endpoints(1), nil)
		assertInFlight(t, after, "w00000", 1)
	})
	t.Run("a new incarnation starts without load", func(t *testing.T) {
		before := fleet.NewSnapshot(1, endpoints(1))
		before.All()[0].Load().Begin()
		w := before.All()[0].Worker()
		after := before.With(2, []fleet.Endpoint{fleet.NewEndpoint(w, "127.0.0.1:1", 8, 64, 99)}, nil)
		assertInFlight(t, after, "w00000", 0)
	})
	t.Run("a diff leads from one snapshot to the other", func(t *testing.T) {
		from := fleet.NewSnapshot(1, endpoints(3))
		to := from.With(2, []fleet.Endpoint{endpoint(7)}, []string{"w00001"})
		d := fleet.Diff(from, to)
		assertReady(t, from.With(d.Revision(), d.Changed(), d.Removed()), "w00000", "w00002", "w00007")
	})
}

// BenchmarkSnapshotChange measures one changed endpoint at an entry process, by the number of endpoints.
func BenchmarkSnapshotChange(b *testing.B) {
	for _, n := range []int{11, 1200, 3600, 7200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := fleet.NewSnapshot(1, endpoints(n))
			b.ReportAllocs()
			for i := range b.N {
				state := fleet.Ready
				if i%2 == 0 {
					state = fleet.Leaving
				}
				s = s.With(uint64(i), []fleet.Endpoint{endpoint(i % n).WithState(state)}, nil)
			}
		})
	}
}

func assertReady(t *testing.T, s *fleet.Snapshot, want ...string) {
	t.Helper()
	var got []string
	for _, e := range s.Ready() {
		got = append(got, e.Name())
	}
	assert.Equal(t, want, got)
}

func assertInFlight(t *testing.T, s *fleet.Snapshot, name string, want int64) {
	t.Helper()
	e, ok := s.Find(name)
	assert.True(t, ok)
	assert.Equal(t, want, e.Load().InFlight())
}

func endpoints(n int) []fleet.Endpoint {
	list := make([]fleet.Endpoint, n)
	for i := range list {
		list[i] = endpoint(i)
	}
	return list
}

func endpoint(i int) fleet.Endpoint {
	w := fleet.NewWorker(fmt.Sprintf("w%05d", i), "r1", fleet.AvailabilityZone(fmt.Sprintf("az%d", i/600)),
		fleet.Rack(fmt.Sprintf("rack%d", i/40)))
	return fleet.NewEndpoint(w, "127.0.0.1:1", 8, 64, 1)
}
