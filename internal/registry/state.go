package registry

import (
	"slices"

	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// State is everything that must survive; it is immutable, and Apply returns the next one.
type State struct {
	config *workspace.Config
	jobs   board.Table[job.Job]
	// unfinished holds the jobs that are not done, so that a day of finished jobs costs the controllers nothing.
	unfinished board.Table[job.Job]
	claims     board.Table[Claim]
	// archive holds the claims that ended for good and whose answers are no longer kept.
	archive  Archive
	replies  board.Table[Reply]
	drained  board.Table[bool]
	fence    lease.FencingToken
	sequence uint64
}

// NewState returns the state before the first command.
func NewState() State {
	return State{
		config:     workspace.EmptyConfig(),
		jobs:       board.NewTable[job.Job](),
		unfinished: board.NewTable[job.Job](),
		claims:     board.NewTable[Claim](),
		replies:    board.NewTable[Reply](),
		drained:    board.NewTable[bool](),
	}
}

// RestoreState returns the state that a snapshot held.
func RestoreState(config *workspace.Config, jobs []job.Job, claims []Claim, archive Archive, replies []Reply,
	drained []string, fence lease.FencingToken, sequence uint64,
) State {
	unfinished := slices.DeleteFunc(slices.Clone(jobs), func(j job.Job) bool { return j.State() == job.Done })
	jobID := func(j job.Job) string { return j.Spec().ID() }
	return State{
		config:     config,
		jobs:       collect(jobs, jobID),
		unfinished: collect(unfinished, jobID),
		claims:     collect(claims, func(c Claim) string { return claimKey(c.workspace, c.key) }),
		archive:    archive,
		replies:    collect(replies, Reply.RequestID),
		drained: board.Collect(func(yield func(string, bool) bool) {
			for _, name := range drained {
				if !yield(name, true) {
					return
				}
			}
		}),
		fence:    fence,
		sequence: sequence,
	}
}

func collect[V any](list []V, key func(V) string) board.Table[V] {
	return board.Collect(func(yield func(string, V) bool) {
		for _, v := range list {
			if !yield(key(v), v) {
				return
			}
		}
	})
}

// Config returns the configuration in force.
func (s State) Config() *workspace.Config { return s.config }

// Jobs returns the jobs by identity.
func (s State) Jobs() board.Table[job.Job] { return s.jobs }

// Unfinished returns the jobs that are queued or placed, by identity.
func (s State) Unfinished() board.Table[job.Job] { return s.unfinished }

// Claims returns the at-most-once records that are open, may be repeated, or hold or lately held an answer.
func (s State) Claims() board.Table[Claim] { return s.claims }

// Archive returns the other at-most-once records.
func (s State) Archive() Archive { return s.archive }

// Replies returns the answers that resends of operators get.
func (s State) Replies() board.Table[Reply] { return s.replies }

// Drained returns the names of the endpoints that operators took out of service.
func (s State) Drained() board.Table[bool] { return s.drained }

// Fence returns the largest fencing number given out.
func (s State) Fence() lease.FencingToken { return s.fence }

// Sequence returns the number of the latest claim or job.
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
