package speed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
	"rosemarywind.example/rosemarywind/internal/speed"
)

// neighbourhood observes generated runs of images that share workers.
type neighbourhood struct {
	model  *speed.Interference
	random *rand.Rand
	now    time.Time
	runs   int
	slows  map[[2]string]float64 // how many times as long the first image takes beside the second
}

func newNeighbourhood(seed uint64) *neighbourhood {
	return &neighbourhood{
		model: speed.NewInterference(), random: rand.New(rand.NewPCG(seed, 2)), now: epoch, slows: map[[2]string]float64{},
	}
}

func (n *neighbourhood) id() run.ID {
	n.runs++
	return run.NewID(batch.NewTaskID("j", 0, 0, n.runs), 1)
}

// share runs a task of each image on a host for four seconds. Tasks vary by 30 percent, and 3 in 100 take seven times as
// long by themselves.
func (n *neighbourhood) share(host int, images ...string) {
	for _, image := range images {
		deviation := 0.3 * n.random.NormFloat64()
		if n.random.Float64() < 0.03 {
			deviation += math.Log(7)
		}
		for _, other := range images {
			if ratio := n.slows[[2]string{image, other}]; ratio > 0 && other != image {
				deviation += math.Log(ratio)
			}
		}
		n.end(host, image, deviation, images...)
	}
}

// end observes a run of an image to its end.
func (n *neighbourhood) end(host int, image string, deviation float64, present ...string) {
	id := n.id()
	for s := range 4 {
		n.model.ObserveTask(n.now.Add(time.Duration(s)*time.Second),
			speed.NewNeighbours(id, fmt.Sprintf("h%d", host), "s", image, 1, present))
	}
	n.model.End(n.now.Add(4*time.Second), id, deviation, true)
}

// play runs three tasks of random images on each of 20 hosts, time after time.
func (n *neighbourhood) play(rounds, images int) {
	for range rounds {
		for host := range 20 {
			first := n.random.IntN(images)
			n.share(host, image(first), image((first+1+n.random.IntN(images-1))%images), image(n.random.IntN(images)))
		}
		n.now = n.now.Add(5 * time.Second)
	}
}

func image(n int) string { return fmt.Sprintf("i%d", n) }

// assertPairs asserts which pairs are known, as image and neighbour.
func assertPairs(t *testing.T, n *neighbourhood, want ...[2]string) {
	t.Helper()
	s := n.model.Slowdowns(n.now.Add(time.Second))
	assert.Len(t, s.Missing(speed.Slowdowns{}), len(want), "%v", s.Missing(speed.Slowdowns{}))
	for _, pair := range want {
		_, known := s.Of("s", pair[0], pair[1])
		assert.True(t, known, "%s beside %s", pair[0], pair[1])
	}
}

// Guards against pairs that are not noticed among many images, or that take others with them. Load: three tasks of 12 random
// images at a time on each of 20 hosts for 10 minutes; two of the images take twice as long beside each other.
func TestPairAmongManyImages(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			n := newNeighbourhood(seed)
			n.slows[[2]string{"i3", "i5"}], n.slows[[2]string{"i5", "i3"}] = 2, 2
			n.play(120, 12)
			assertPairs(t, n, [2]string{"i3", "i5"}, [2]string{"i5", "i3"})
			s, _ := n.model.Slowdowns(n.now).Of("s", "i3", "i5")
			assert.InDelta(t, 2, s.Ratio(), 0.5)
			assert.Positive(t, s.Uncertainty())
			assert.Less(t, s.Age(n.now), time.Minute)
		})
	}
}

// Guards against chance that is taken for a pair. Load: as above, without any slowdown, looked at every 25 seconds. Each of
// the loads listed made a pair at five standard errors or six observations.
func TestChanceIsNoPair(t *testing.T) {
	seeds := []uint64{240, 525, 527, 747}
	for seed := range uint64(16) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			n := newNeighbourhood(seed)
			for range 24 {
				n.play(5, 12)
				assertPairs(t, n)
			}
		})
	}
}

// Guards against a single long task, or a single slow host, that makes a pair. Load: 200 tasks of one image alone on 10
// hosts, beside it on one host.
func TestLongTasksByThemselves(t *testing.T) {
	for name, c := range map[string]struct{ count, hosts int }{
		"a task":                {1, 1},
		"tasks on one host":     {50, 1},
		"too few on more hosts": {9, 3},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNeighbourhood(1)
			for k := range 200 {
				n.share(k%10, "a")
			}
			for k := range c.count {
				n.end(k%c.hosts, "a", 4, "a", "b")
			}
			assertPairs(t, n)
		})
	}
}

// serve observes a serving task on each of six hosts for some minutes. Two best-effort images come and go independently of
// each other every 20 seconds; one raises the tail latency by the given ratio.
func (n *neighbourhood) serve(minutes int, ratio float64) {
	beside := map[int][]string{}
	for s := range minutes * 60 {
		n.now = n.now.Add(time.Second)
		for host := range 6 {
			if s%20 == 0 {
				beside[host] = nil
				for _, image := range []string{"loud", "quiet"} {
					if n.random.IntN(2) == 0 {
						beside[host] = append(beside[host], image)
					}
				}
			}
			latency := 0.4 * math.Exp(0.2*n.random.NormFloat64())
			for _, image := range beside[host] {
				if image == "loud" {
					latency *= ratio
				}
			}
			id := run.NewID(batch.NewTaskID("serve", 0, 0, host), 1)
			n.model.ObserveLatency(n.now, speed.NewNeighbours(id, fmt.Sprintf("h%d", host), "s", "web", 1, beside[host]), latency)
		}
	}
}

// Guards against a best-effort image that is blamed for another one's disturbance. Load: six serving tasks for 10 minutes
// beside two best-effort images that come and go.
func TestServingBesideBestEffort(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("disturbed", seed), func(t *testing.T) {
			n := newNeighbourhood(seed)
			n.serve(10, 1.8)
			assertPairs(t, n, [2]string{"web", "loud"})
		})
		t.Run(fmt.Sprint("undisturbed", seed), func(t *testing.T) {
			n := newNeighbourhood(seed)
			n.serve(10, 1)
			assertPairs(t, n)
		})
	}
}

// Guards against pairs that are kept for good. Load: six serving tasks for 10 minutes beside a disturbing image, which then
// either disturbs no more or is not seen any more.
func TestPairIsForgotten(t *testing.T) {
	t.Run("without effect", func(t *testing.T) {
		n := newNeighbourhood(1)
		n.serve(10, 1.8)
		assertPairs(t, n, [2]string{"web", "loud"})
		n.serve(90, 1)
		assertPairs(t, n)
	})
	t.Run("not seen", func(t *testing.T) {
		n := newNeighbourhood(1)
		n.serve(10, 1.8)
		n.now = n.now.Add(4 * time.Hour)
		assertPairs(t, n)
		assert.Zero(t, n.model.Images())
	})
}

// Guards against state that grows with the names that callers choose, and against the loss of recent ones. Load: 5,000
// images one after the other, each beside 50 others, then one image again.
func TestManyImagesDoNotGrowTheState(t *testing.T) {
	n := newNeighbourhood(1)
	for k := range 5000 {
		var present []string
		for o := range 50 {
			present = append(present, image(k+o+1))
		}
		n.end(k%20, image(k), 0.1, present...)
		n.now = n.now.Add(10 * time.Millisecond)
	}
	assert.LessOrEqual(t, n.model.Images(), 256)
	assert.LessOrEqual(t, n.model.Neighbours(), 256*32)
	n.slows[[2]string{"a", "b"}] = 2
	for k := range 40 {
		n.share(k%5, "a", "b")
		n.share(k%5, "a")
	}
	assertPairs(t, n, [2]string{"a", "b"})
}

// Guards against figures that spoil the averages. Load: a disturbed serving task with some figures that no worker can have.
func TestInvalidFigures(t *testing.T) {
	n := newNeighbourhood(1)
	for k, ratio := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		n.model.ObserveLatency(n.now, speed.NewNeighbours(n.id(), "h0", "s", "web", 0, []string{"loud"}), ratio)
		n.end(k, "web", []float64{math.NaN(), math.Inf(1), math.Inf(-1), 0}[k], "loud")
	}
	n.serve(10, 1.8)
	assertPairs(t, n, [2]string{"web", "loud"})
}
