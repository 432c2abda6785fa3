package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/route"
)

// start is the time at which each test starts.
var start = time.Unix(1_000_000, 0)

// Guards against requests sent to an endpoint that is full, leaving or excluded.
func TestChoose(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	t.Run("no endpoint is ready", func(t *testing.T) {
		s := fleet.NewSnapshot(1, []fleet.Endpoint{endpoint(0).WithState(fleet.Leaving)})
		assertNone(t, s, random)
	})
	t.Run("only one endpoint has a free slot", func(t *testing.T) {
		s := snapshot(50)
		for _, e := range s.All()[1:] {
			fill(e)
		}
		assertChosen(t, s, random, s.All()[0].Name())
	})
	t.Run("excluded", func(t *testing.T) {
		s := snapshot(2)
		assertChosen(t, s, random, "w0001", "w0000")
		assertNone(t, s, random, "w0000", "w0001")
	})
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{11, 1200, 7200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := snapshot(n)
			b.ReportAllocs()
			b.RunParallel(func(p *testing.PB) {
				random := rand.New(rand.NewPCG(1, 2))
				for p.Next() {
					route.Choose(s, random, nil, start)
				}
			})
		})
	}
}

// BenchmarkChooseWhileRepublished chooses endpoints while a writer publishes a snapshot with one changed endpoint every
// millisecond.
func BenchmarkChooseWhileRepublished(b *testing.B) {
	for _, n := range []int{11, 7200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			section := board.NewSection(snapshot(n))
			done, ended := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(ended)
				t := time.NewTicker(time.Millisecond)
				defer t.Stop()
				for {
					select {
					case <-t.C:
						s := section.Load()
						section.Publish(s.With(s.Revision()+1, []fleet.Endpoint{endpoint(0)}, nil))
					case <-done:
						return
					}
				}
			}()
			b.ReportAllocs()
			b.RunParallel(func(p *testing.PB) {
				random := rand.New(rand.NewPCG(1, 2))
				for p.Next() {
					route.Choose(section.Load(), random, nil, start)
				}
			})
			close(done)
			<-ended
		})
	}
}

func assertNone(t *testing.T, s *fleet.Snapshot, random route.Random, excluded ...string) {
	t.Helper()
	_, ok := route.Choose(s, random, excluded, start)
	assert.False(t, ok)
}

func assertChosen(t *testing.T, s *fleet.Snapshot, random route.Random, want string, excluded ...string) {
	t.Helper()
	for range 100 {
		e, ok := route.Choose(s, random, excluded, start)
		assert.True(t, ok)
		assert.Equal(t, want, e.Name())
	}
}

func snapshot(n int) *fleet.Snapshot {
	list := make([]fleet.Endpoint, n)
	for i := range list {
		list[i] = endpoint(i)
	}
	return fleet.NewSnapshot(1, list)
}

func endpoint(i int) fleet.Endpoint {
	w := fleet.NewWorker(fmt.Sprintf("w%04d", i), "r", "z", "k")
	return fleet.NewEndpoint(w, "127.0.0.1:1", 8, 64, 1)
}

func fill(e fleet.Endpoint) {
	for range e.Slots() {
		e.Load().Begin()
	}
}
