package plan_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/plan"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// fleetOfSize is a busy fleet. The size to design for has 7,200 workers with 9,900 accelerators in 12 availability zones,
// racks of 40, 120 workspaces. 386 workers have 8 accelerators, the others one, less two without.
type fleetOfSize struct {
	workers []fleet.Worker
	spaces  []workspace.Workspace
	jobs    []job.Job
}

func sizeToday(b testing.TB) fleetOfSize {
	f := fleetOfSize{workers: workersOf(11, 3)}
	for i := range 4 {
		f.spaces = append(f.spaces, spaceOf(b, fmt.Sprintf("s%d", i), 1, 8, workspace.SameWorker))
	}
	f.fill(b)
	return f
}

func sizeDesigned(b testing.TB) fleetOfSize {
	f := fleetOfSize{}
	total := 0
	for i := range 7200 {
		accelerators := 1
		if i%18 == 0 && i/18 < 386 {
			accelerators = 8
		}
		if i >= 7198 {
			accelerators = 0
		}
		total += accelerators
		rack := i / 40
		f.workers = append(f.workers, fleet.NewWorker(fmt.Sprintf("w%d", i), "region",
			fleet.AvailabilityZone(fmt.Sprintf("z%02d", rack/15)), fleet.Rack(fmt.Sprintf("r%d", rack))).
			WithResources(64, 128000, accelerators))
	}
	require.Equal(b, 9900, total)
	for i := range 120 {
		f.spaces = append(f.spaces, spaceOf(b, fmt.Sprintf("s%d", i), 8, 1, workspace.SameZone))
	}
	f.fill(b)
	return f
}

// fill places jobs of one accelerator on all but every seventh accelerator.
func (f *fleetOfSize) fill(b testing.TB) {
	seen := 0
	for _, w := range f.workers {
		for range w.Accelerators() {
			if seen++; seen%7 == 0 {
				continue
			}
			i := len(f.jobs)
			j := jobOf(b, fmt.Sprintf("running%d", i), fmt.Sprintf("s%d", i%len(f.spaces)),
				shapeOf(b, 1, 1, workspace.Anywhere), job.WithIdempotent(true), job.WithRunTime(time.Hour))
			f.jobs = append(f.jobs, j.Reserve(1, []job.Member{job.NewMember(0, w.Name(), 1)}).Start())
		}
	}
}

func (f *fleetOfSize) queued(b testing.TB, count int, s workspace.Shape, opts ...job.SpecOption) (jobs []job.Job) {
	jobs = append(jobs, f.jobs...)
	for i := range count {
		jobs = append(jobs, jobOf(b, fmt.Sprintf("new%d", i), fmt.Sprintf("s%d", i%len(f.spaces)), s, append(opts, job.WithIdempotent(true))...))
	}
	return jobs
}

// decideOnce measures one decision on a view that the planner's caches know the workers of.
func (f *fleetOfSize) decideOnce(b *testing.B, jobs []job.Job, opts ...plan.ViewOption) {
	now := start.Add(time.Minute)
	p := plan.New()
	p.Decide(plan.NewView(f.workers, f.jobs, f.spaces), now)
	b.ReportAllocs()
	for b.Loop() {
		p.Decide(plan.NewView(f.workers, jobs, f.spaces, opts...), now)
	}
}

func BenchmarkToday(b *testing.B) {
	f := sizeToday(b)
	b.Run("small", func(b *testing.B) { f.decideOnce(b, f.queued(b, 1, shapeOf(b, 1, 1, workspace.Anywhere))) })
	b.Run("gang", func(b *testing.B) { f.decideOnce(b, f.queued(b, 1, shapeOf(b, 3, 8, workspace.SameRack))) })
	b.Run("burst", func(b *testing.B) { f.decideOnce(b, f.queued(b, 1000, shapeOf(b, 1, 1, workspace.Anywhere))) })
	b.Run("rack lost", func(b *testing.B) { f.decideOnce(b, f.jobs, plan.WithUnreachable("w0", "w1", "w2")) })
}

func BenchmarkDesigned(b *testing.B) {
	f := sizeDesigned(b)
	b.Run("small", func(b *testing.B) { f.decideOnce(b, f.queued(b, 1, shapeOf(b, 1, 1, workspace.Anywhere))) })
	b.Run("gang of 512", func(b *testing.B) { f.decideOnce(b, f.queued(b, 1, shapeOf(b, 512, 1, workspace.Anywhere))) })
	b.Run("blocked gang of 512", func(b *testing.B) { f.decideOnce(b, f.queued(b, 1, shapeOf(b, 512, 1, workspace.SameZone))) })
	b.Run("burst of 1000", func(b *testing.B) { f.decideOnce(b, f.queued(b, 1000, shapeOf(b, 1, 1, workspace.Anywhere))) })
	b.Run("blocked burst of 1000", func(b *testing.B) { f.decideOnce(b, f.queued(b, 1000, shapeOf(b, 2, 8, workspace.SameRack))) })
	b.Run("urgent burst of 5000", func(b *testing.B) {
		f.decideOnce(b, f.queued(b, 5000, shapeOf(b, 1, 1, workspace.Anywhere), job.WithUrgency(job.Urgent)))
	})
	b.Run("availability zone lost", func(b *testing.B) { f.decideOnce(b, f.zoneLost(b, "z03"), f.unreachable("z03")) })
}

func (f *fleetOfSize) unreachable(zone fleet.AvailabilityZone) plan.ViewOption {
	var names []string
	for _, w := range f.workers {
		if w.AvailabilityZone() == zone {
			names = append(names, w.Name())
		}
	}
	return plan.WithUnreachable(names...)
}

// zoneLost queues the jobs of the zone again.
func (f *fleetOfSize) zoneLost(b testing.TB, zone fleet.AvailabilityZone) []job.Job {
	lost := map[string]bool{}
	for _, w := range f.workers {
		lost[w.Name()] = w.AvailabilityZone() == zone
	}
	jobs := append([]job.Job{}, f.jobs...)
	for i, j := range jobs {
		if lost[j.Members()[0].Worker()] {
			jobs[i] = j.Requeue("lost", time.Time{})
		}
	}
	require.NotEqual(b, f.jobs, jobs)
	return jobs
}

// BenchmarkMemory reports the heap that the view and the planner hold at the size to design for.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		f := sizeDesigned(b)
		p := plan.New()
		v := plan.NewView(f.workers, f.queued(b, 1000, shapeOf(b, 1, 1, workspace.Anywhere)), f.spaces)
		p.Decide(v, start)
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(v)
		runtime.KeepAlive(p)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
}
