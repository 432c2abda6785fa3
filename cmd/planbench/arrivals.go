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
	day                   = planbench.Day
	acceleratorsPerWorker = 8
	workersPerRack        = 3
	workerCount           = 11
)

// arrival is a job, its actual run time, and when it is cancelled, 0 for never.
type arrival struct {
	spec     job.Spec
	at       time.Duration
	runTime  time.Duration
	cancelAt time.Duration
}

// builder generates the arrivals of a scenario from a seed.
type builder struct {
	name          string
	workers       []fleet.Worker
	workspaces    []workspace.Workspace
	arrivals      []arrival
	lostRack      string
	failingWorker string
	random        *rand.Rand
	err           error
}

// scenario returns the scenario built so far. A lost rack fails after 4 hours, half of the day.
func (b *builder) scenario() planbench.Scenario {
	arrivals := make([]planbench.Arrival, len(b.arrivals))
	for i, a := range b.arrivals {
		arrivals[i] = planbench.NewArrival(a.spec, a.runTime, a.cancelAt)
	}
	s := planbench.NewScenario(b.name, b.workers, b.workspaces, arrivals).WithFailingWorker(b.failingWorker)
	if b.lostRack != "" {
		s = s.WithLostRack(b.lostRack, 4*time.Hour)
	}
	return s
}

// newBuilder returns a builder for a fleet with its racks spread over the availability zones.
func newBuilder(name string, zones int, seed uint64) *builder {
	b := &builder{name: name, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range workerCount {
		rack := i / workersPerRack
		b.workers = append(b.workers, fleet.NewWorker(fmt.Sprintf("w%02d", i), "home",
			fleet.AvailabilityZone(fmt.Sprintf("z%d", rack%zones)), fleet.Rack(fmt.Sprintf("r%d", rack))).
			WithResources(128, 256000, acceleratorsPerWorker))
	}
	return b
}

// shape returns a shape and records an error if it is invalid.
func (b *builder) shape(members, accelerators int, a workspace.Adjacency) workspace.Shape {
	s, err := workspace.NewShape(members, accelerators, a)
	if err != nil && b.err == nil {
		b.err = err
	}
	return s
}

// addWorkspace adds a workspace with a guarantee of the given number of full workers.
func (b *builder) addWorkspace(name string, members int, a workspace.Adjacency) {
	b.workspaces = append(b.workspaces,
		workspace.New(name, name, b.shape(members, acceleratorsPerWorker, a), workspace.Limits{}))
}

// randomDuration returns a random duration of at least low and less than high.
func (b *builder) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(b.random.Int64N(int64(high-low)))
}

// add adds an idempotent job with its actual run time declared, unless the options say otherwise.
func (b *builder) add(
	at time.Duration, workspaceName string, s workspace.Shape, runTime time.Duration, opts ...job.SpecOption,
) {
	id := fmt.Sprintf("%s-%04d", workspaceName, len(b.arrivals))
	opts = append([]job.SpecOption{job.WithIdempotent(true), job.WithRunTime(runTime)}, opts...)
	spec, err := job.NewSpec(id, workspaceName, s, planbench.Epoch.Add(at), opts...)
	if err != nil && b.err == nil {
		b.err = err
	}
	b.arrivals = append(b.arrivals, arrival{spec: spec, at: at, runTime: runTime})
}

// addUrgentBurst adds a burst of urgent jobs that run for 10 to 40 seconds.
func (b *builder) addUrgentBurst(at time.Duration, count int) {
	for range count {
		b.add(at+b.randomDuration(0, 5*time.Second), "urgent", b.shape(1, 1, workspace.Anywhere),
			b.randomDuration(10*time.Second, 40*time.Second), job.WithUrgency(job.Urgent))
	}
}

// addPatient adds patient jobs of at most one worker, every second of which can be checkpointed.
func (b *builder) addPatient(count int) {
	for i := range count {
		b.add(b.randomDuration(0, day), []string{"patient", "scans", "gangs"}[i%3],
			b.shape(1, []int{1, 2, 4, 4, 8}[b.random.IntN(5)], workspace.Anywhere),
			b.randomDuration(20*time.Minute, 100*time.Minute), job.WithCheckpointable(i%2 == 0), job.WithIdempotent(i%5 > 0))
	}
}

// addGangs adds patient jobs of several full workers in one rack.
func (b *builder) addGangs(count, members int, longest time.Duration) {
	for range count {
		b.add(b.randomDuration(0, day), "gangs", b.shape(members, acceleratorsPerWorker, workspace.SameRack),
			b.randomDuration(30*time.Minute, longest), job.WithCheckpointable(true))
	}
}

// userA generates bursts of short urgent jobs on top of patient jobs of up to 100 minutes, with four guarantees.
func userA(name string, seed uint64) *builder {
	b := newBuilder(name, 3, seed)
	b.addWorkspace("urgent", 1, workspace.SameWorker)
	b.addWorkspace("patient", 1, workspace.SameWorker)
	b.addWorkspace("scans", 2, workspace.SameRack)
	b.addWorkspace("gangs", 3, workspace.SameRack)
	for at := 10 * time.Minute; at < day; at += b.randomDuration(10*time.Minute, 30*time.Minute) {
		b.addUrgentBurst(at, 8+b.random.IntN(24))
	}
	b.addPatient(105)
	b.addGangs(6, 2, 90*time.Minute)
	b.addGangs(3, 3, 90*time.Minute)
	return b
}

// userB generates mostly large gangs and few small jobs.
func userB(name string, seed uint64) *builder {
	b := newBuilder(name, 4, seed)
	b.addWorkspace("urgent", 1, workspace.SameWorker)
	b.addWorkspace("patient", 2, workspace.SameRack)
	b.addWorkspace("scans", 1, workspace.SameWorker)
	b.addWorkspace("gangs", 3, workspace.SameRack)
	for at := 20 * time.Minute; at < day; at += b.randomDuration(30*time.Minute, 50*time.Minute) {
		b.addUrgentBurst(at, 6)
	}
	b.addPatient(50)
	b.addGangs(8, 2, 120*time.Minute)
	b.addGangs(9, 3, 120*time.Minute)
	return b
}

// falsifyDeclarations makes every declared run time wrong by a factor of ten, alternately too long and too short,
// and every tenth size, in the same way. A size declared larger than a worker can never run.
func (b *builder) falsifyDeclarations() {
	for i := range b.arrivals {
		a := &b.arrivals[i]
		s, declared := a.spec.Shape(), a.runTime*10
		if i%2 == 0 {
			declared = a.runTime / 10
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

// scenarios returns all scenarios. Equal seeds give equal scenarios.
func scenarios(seed uint64) (all []planbench.Scenario, err error) {
	small, large := userA("small bursts", seed), userA("large bursts", seed)
	cancelled, rackLost, failing, misdeclared := userA("cancellations", seed), userB("rack lost", seed),
		userA("broken worker", seed), userA("wrong by ten", seed)
	reclaim := newBuilder("four reclaims", 3, seed)
	reclaim.workspaces = small.workspaces
	for i := range 5 {
		small.addUrgentBurst(time.Duration(i+1)*time.Hour, 250)
		for range 4 {
			large.add(time.Duration(i+1)*time.Hour, "gangs", large.shape(2, acceleratorsPerWorker, workspace.SameRack),
				large.randomDuration(10*time.Minute, 30*time.Minute), job.WithCheckpointable(true))
		}
	}
	for i := range cancelled.arrivals {
		if a := &cancelled.arrivals[i]; i%2 == 0 {
			a.cancelAt = (a.at/(2*time.Hour) + 1) * 2 * time.Hour
		}
	}
	rackLost.lostRack = "r0"
	failing.failingWorker = "w00"
	misdeclared.falsifyDeclarations()
	for i := range 44 {
		reclaim.add(0, "guest", reclaim.shape(1, 2, workspace.Anywhere), reclaim.randomDuration(time.Hour, 3*time.Hour),
			job.WithCheckpointable(i%2 == 0), job.WithIdempotent(i%3 > 0))
	}
	for _, s := range reclaim.workspaces {
		reclaim.add(30*time.Minute, s.Name(), s.Guarantee(), time.Hour, job.WithUrgency(job.Urgent))
	}
	for _, b := range []*builder{
		userA("user A", seed), userB("user B", seed), small, large, cancelled, rackLost, failing, misdeclared, reclaim,
	} {
		if b.err != nil {
			return nil, fmt.Errorf("scenario %s: %w", b.name, b.err)
		}
		all = append(all, b.scenario())
	}
	return all, nil
}
