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

// sizedFleet is a busy fleet of a given size. The design size has 7,200 workers with 9,900 accelerators in 12
// availability zones, 40 workers in a rack, and 120 workspaces. Of the workers, 386 have 8 accelerators and the
// others one, but for two without any.
type sizedFleet struct {
	workers    []fleet.Worker
	workspaces []workspace.Workspace
	jobs       []job.Job
}

func sizeToday(b testing.TB) sizedFleet {
	f := sizedFleet{workers: workersOf(11, 3)}
	for i := range 4 {
		f.workspaces = append(f.workspaces, workspaceOf(b, fmt.Sprintf("s%d", i), 1, 8, workspace.SameWorker))
	}
	f.fill(b)
	return f
}

func sizeDesigned(b testing.TB) sizedFleet {
	f := sizedFleet{}
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
		f.workspaces = append(f.workspaces, workspaceOf(b, fmt.Sprintf("s%d", i), 8, 1, workspace.SameZone))
	}
	f.fill(b)
	return f
}

// fill places jobs of one accelerator on all accelerators but every seventh.
func (f *sizedFleet) fill(b testing.TB) {
	seen := 0
	for _, w := range f.workers {
		for range w.Accelerators() {
			if seen++; seen%7 == 0 {
				continue
			}
			i := len(f.jobs)
			j := jobOf(b, fmt.Sprintf("running%d", i), fmt.Sprintf("s%d", i%len(f.workspaces)),
				shapeOf(b, 1, 1, workspace.Anywhere), job.WithIdempotent(true), job.WithRunTime(time.Hour))
			f.jobs = append(f.jobs, j.Reserve(1, []job.Member{job.NewMember(0, w.Name(), 1)}).Start())
		}
	}
}

// queued returns the running jobs and count queued jobs with the shape.
func (f *sizedFleet) queued(b testing.TB, count int, s workspace.Shape, opts ...job.SpecOption) (jobs []job.Job) {
	jobs = append(jobs, f.jobs...)
	for i := range count {
		jobs = append(jobs, jobOf(b, fmt.Sprintf("new%d", i), fmt.Sprintf("s%d", i%len(f.workspaces)), s, append(opts, job.WithIdempotent(true))...))
	}
	return jobs
}

// decideOnce measures one decision by a planner that has seen the workers of the view before.
func (f *sizedFleet) decideOnce(b *testing.B, jobs []job.Job, opts ...plan.ViewOption) {
	now := startTime.Add(time.Minute)
	p := plan.New()
	p.Decide(plan.NewView(f.workers, f.jobs, f.workspaces), now)
	b.ReportAllocs()
	for b.Loop() {
		p.Decide(plan.NewView(f.workers, jobs, f.workspaces, opts...), now)
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

func (f *sizedFleet) unreachable(zone fleet.AvailabilityZone) plan.ViewOption {
	var names []string
	for _, w := range f.workers {
		if w.AvailabilityZone() == zone {
			names = append(names, w.Name())
		}
	}
	return plan.WithUnreachable(names...)
}

// zoneLost returns the jobs of the fleet, with those in the availability zone queued again.
func (f *sizedFleet) zoneLost(b testing.TB, zone fleet.AvailabilityZone) []job.Job {
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

// BenchmarkMemory reports the heap size of a view and a planner at the design size.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		f := sizeDesigned(b)
		p := plan.New()
		v := plan.NewView(f.workers, f.queued(b, 1000, shapeOf(b, 1, 1, workspace.Anywhere)), f.workspaces)
		p.Decide(v, startTime)
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(v)
		runtime.KeepAlive(p)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
}
