package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/planbench"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

const (
	day         = planbench.Day
	perWorker   = 8
	perRack     = 3
	workerCount = 11
)

// arrival is a job, how long it really runs, and when it is cancelled, 0 for never.
type arrival struct {
	spec     job.Spec
	at       time.Duration
	runs     time.Duration
	cancelAt time.Duration
}

// builder adds arrivals from a fixed seed.
type builder struct {
	name     string
	workers  []fleet.Worker
	spaces   []workspace.Workspace
	arrivals []arrival
	lost     string
	broken   string
	random   *rand.Rand
	err      error
}

func (b *builder) scenario() planbench.Scenario {
	arrivals := make([]planbench.Arrival, len(b.arrivals))
	for i, a := range b.arrivals {
		arrivals[i] = planbench.NewArrival(a.spec, a.runs, a.cancelAt)
	}
	s := planbench.NewScenario(b.name, b.workers, b.spaces, arrivals).WithFailingWorker(b.broken)
	if b.lost != "" {
		s = s.WithLostRack(b.lost, 4*time.Hour)
	}
	return s
}

func newBuilder(name string, zones int, seed uint64) *builder {
	b := &builder{name: name, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range workerCount {
		rack := i / perRack
		b.workers = append(b.workers, fleet.NewWorker(fmt.Sprintf("w%02d", i), "home",
			fleet.AvailabilityZone(fmt.Sprintf("z%d", rack%zones)), fleet.Rack(fmt.Sprintf("r%d", rack))).
			WithResources(128, 256000, perWorker))
	}
	return b
}

func (b *builder) shape(members, accelerators int, a workspace.Adjacency) workspace.Shape {
	s, err := workspace.NewShape(members, accelerators, a)
	if err != nil && b.err == nil {
		b.err = err
	}
	return s
}

func (b *builder) space(name string, members int, a workspace.Adjacency) {
	b.spaces = append(b.spaces, workspace.New(name, name, b.shape(members, perWorker, a), workspace.Limits{}))
}

func (b *builder) between(low, high time.Duration) time.Duration {
	return low + time.Duration(b.random.Int64N(int64(high-low)))
}

func (b *builder) add(at time.Duration, space string, s workspace.Shape, runs time.Duration, opts ...job.SpecOption) {
	id := fmt.Sprintf("%s-%04d", space, len(b.arrivals))
	opts = append([]job.SpecOption{job.WithIdempotent(true), job.WithRunTime(runs)}, opts...)
	spec, err := job.NewSpec(id, space, s, planbench.Epoch.Add(at), opts...)
	if err != nil && b.err == nil {
		b.err = err
	}
	b.arrivals = append(b.arrivals, arrival{spec: spec, at: at, runs: runs})
}

// previews adds a burst of urgent jobs of seconds.
func (b *builder) previews(at time.Duration, count int) {
	for range count {
		b.add(at+b.between(0, 5*time.Second), "urgent", b.shape(1, 1, workspace.Anywhere),
			b.between(10*time.Second, 40*time.Second), job.WithUrgency(job.Urgent))
	}
}

// long adds patient jobs of one worker or less; every second one can be checkpointed.
func (b *builder) long(count int) {
	for i := range count {
		b.add(b.between(0, day), []string{"patient", "scans", "gangs"}[i%3],
			b.shape(1, []int{1, 2, 4, 4, 8}[b.random.IntN(5)], workspace.Anywhere),
			b.between(20*time.Minute, 100*time.Minute), job.WithCheckpointable(i%2 == 0), job.WithIdempotent(i%5 > 0))
	}
}

// gangs adds patient jobs of whole workers in one rack.
func (b *builder) gangs(count, members int, longest time.Duration) {
	for range count {
		b.add(b.between(0, day), "gangs", b.shape(members, perWorker, workspace.SameRack), b.between(30*time.Minute, longest),
			job.WithCheckpointable(true))
	}
}

// userA is short urgent bursts over patient jobs of hours, with four guarantees.
func userA(name string, seed uint64) *builder {
	b := newBuilder(name, 3, seed)
	b.space("urgent", 1, workspace.SameWorker)
	b.space("patient", 1, workspace.SameWorker)
	b.space("scans", 2, workspace.SameRack)
	b.space("gangs", 3, workspace.SameRack)
	for at := 10 * time.Minute; at < day; at += b.between(10*time.Minute, 30*time.Minute) {
		b.previews(at, 8+b.random.IntN(24))
	}
	b.long(105)
	b.gangs(6, 2, 90*time.Minute)
	b.gangs(3, 3, 90*time.Minute)
	return b
}

// userB is large adjacent jobs with few small ones.
func userB(name string, seed uint64) *builder {
	b := newBuilder(name, 4, seed)
	b.space("urgent", 1, workspace.SameWorker)
	b.space("patient", 2, workspace.SameRack)
	b.space("scans", 1, workspace.SameWorker)
	b.space("gangs", 3, workspace.SameRack)
	for at := 20 * time.Minute; at < day; at += b.between(30*time.Minute, 50*time.Minute) {
		b.previews(at, 6)
	}
	b.long(50)
	b.gangs(8, 2, 120*time.Minute)
	b.gangs(9, 3, 120*time.Minute)
	return b
}

// wrong makes declared run times and sizes wrong by ten either way; what is declared too large for a worker can never run.
func (b *builder) wrong() {
	for i := range b.arrivals {
		a := &b.arrivals[i]
		s, declared := a.spec.Shape(), a.runs*10
		if i%2 == 0 {
			declared = a.runs / 10
		}
		switch i % 20 {
		case 0:
			s = b.shape(s.Members(), s.Accelerators()*10, s.Adjacency())
		case 10:
			s = b.shape(s.Members(), max(1, s.Accelerators()/10), s.Adjacency())
		}
		x := a.spec
		a.spec, b.err = job.NewSpec(x.ID(), x.Workspace(), s, x.SubmittedAt(), job.WithUrgency(x.Urgency()),
			job.WithIdempotent(x.Idempotent()), job.WithCheckpointable(x.Checkpointable()), job.WithRunTime(declared))
	}
}

// scenarios returns all scenarios; equal seeds give equal lists.
func scenarios(seed uint64) (all []planbench.Scenario, err error) {
	small, large := userA("small bursts", seed), userA("large bursts", seed)
	cancel, rack, broken, wrong := userA("cancellations", seed), userB("rack lost", seed), userA("broken worker", seed), userA("wrong by ten", seed)
	reclaim := newBuilder("four reclaims", 3, seed)
	reclaim.spaces = small.spaces
	for i := range 5 {
		small.previews(time.Duration(i+1)*time.Hour, 250)
		for range 4 {
			large.add(time.Duration(i+1)*time.Hour, "gangs", large.shape(2, perWorker, workspace.SameRack),
				large.between(10*time.Minute, 30*time.Minute), job.WithCheckpointable(true))
		}
	}
	for i := range cancel.arrivals {
		if a := &cancel.arrivals[i]; i%2 == 0 {
			a.cancelAt = (a.at/(2*time.Hour) + 1) * 2 * time.Hour
		}
	}
	rack.lost = "r0"
	broken.broken = "w00"
	wrong.wrong()
	for i := range 44 {
		reclaim.add(0, "guest", reclaim.shape(1, 2, workspace.Anywhere), reclaim.between(time.Hour, 3*time.Hour),
			job.WithCheckpointable(i%2 == 0), job.WithIdempotent(i%3 > 0))
	}
	for _, s := range reclaim.spaces {
		reclaim.add(30*time.Minute, s.Name(), s.Guarantee(), time.Hour, job.WithUrgency(job.Urgent))
	}
	for _, b := range []*builder{
		userA("user A", seed), userB("user B", seed), small, large, cancel, rack, broken, wrong, reclaim,
	} {
		if b.err != nil {
			return nil, fmt.Errorf("scenario %s: %w", b.name, b.err)
		}
		all = append(all, b.scenario())
	}
	return all, nil
}
