package registry

import (
	"slices"

	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// State is the replicated state; it is immutable, and Apply returns the next one.
type State struct {
	config *workspace.Config
	jobs   board.Table[job.Job]
	// unfinished holds the jobs that are not done, so that controllers need not scan a day of finished jobs.
	unfinished board.Table[job.Job]
	claims     board.Table[Claim]
	// archive holds the claims that cannot be repeated and whose responses are no longer kept.
	archive            Archive
	replies            board.Table[Reply]
	drained            board.Table[bool]
	evacuations        board.Table[Evacuation] // by availability zone
	latestFencingToken lease.FencingToken
	sequence           uint64
}

// NewState returns the state before the first command, with an empty configuration at revision 0.
func NewState() State {
	return State{
		config:      workspace.EmptyConfig(),
		jobs:        board.NewTable[job.Job](),
		unfinished:  board.NewTable[job.Job](),
		claims:      board.NewTable[Claim](),
		replies:     board.NewTable[Reply](),
		drained:     board.NewTable[bool](),
		evacuations: board.NewTable[Evacuation](),
	}
}

// RestoreState returns the state of a snapshot without its evacuations; the index of unfinished jobs is rebuilt from jobs.
func RestoreState(config *workspace.Config, jobs []job.Job, claims []Claim, archive Archive, replies []Reply,
	drained []string, latestFencingToken lease.FencingToken, sequence uint64,
) State {
	unfinished := slices.DeleteFunc(slices.Clone(jobs), func(j job.Job) bool { return j.State() == job.Done })
	jobID := func(j job.Job) string { return j.Spec().ID() }
	return State{
		config:     config,
		jobs:       tableOf(jobs, jobID),
		unfinished: tableOf(unfinished, jobID),
		claims:     tableOf(claims, func(c Claim) string { return claimKey(c.workspace, c.key) }),
		archive:    archive,
		replies:    tableOf(replies, Reply.RequestID),
		drained: board.Collect(func(yield func(string, bool) bool) {
			for _, name := range drained {
				if !yield(name, true) {
					return
				}
			}
		}),
		evacuations:        board.NewTable[Evacuation](),
		latestFencingToken: latestFencingToken,
		sequence:           sequence,
	}
}

func tableOf[V any](list []V, key func(V) string) board.Table[V] {
	return board.Collect(func(yield func(string, V) bool) {
		for _, v := range list {
			if !yield(key(v), v) {
				return
			}
		}
	})
}

// Config returns the current configuration.
func (s State) Config() *workspace.Config { return s.config }

// Jobs returns the jobs by ID, those that ended lately among them.
func (s State) Jobs() board.Table[job.Job] { return s.jobs }

// Unfinished returns the jobs that are queued or placed, by ID.
func (s State) Unfinished() board.Table[job.Job] { return s.unfinished }

// Claims returns the claims that are open, may be repeated, or ended too recently to be archived.
func (s State) Claims() board.Table[Claim] { return s.claims }

// Archive returns the claims that cannot be repeated and whose responses are dropped.
func (s State) Archive() Archive { return s.archive }

// Replies returns the recorded results of requests by their scope and request ID.
func (s State) Replies() board.Table[Reply] { return s.replies }

// Drained returns the endpoints that operators drained, by name; each value is true.
func (s State) Drained() board.Table[bool] { return s.drained }

// LatestFencingToken returns the largest fencing token that was issued, 0 before the first.
func (s State) LatestFencingToken() lease.FencingToken { return s.latestFencingToken }

// Sequence returns the counter that each claim and each submitted job increments; attempt numbers are taken from it.
func (s State) Sequence() uint64 { return s.sequence }

func (s State) withJob(j job.Job) State {
	id := j.Spec().ID()
	s.jobs = s.jobs.With(id, j)
	if j.State() == job.Done {
		s.unfinished = s.unfinished.Without(id)
	} else {
		s.unfinished = s.unfinished.With(id, j)
	}
	return s
}
