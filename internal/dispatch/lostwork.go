package dispatch

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// LossCause says why the work of a run is lost.
type LossCause string

// The causes of lost work.
const (
	// ByPreemption means that the run was preempted for a more urgent job.
	ByPreemption LossCause = "preemption"
	// ByGang means that another member of the gang has ended.
	ByGang LossCause = "gang"
	// ByWorker means that the worker was lost or its lease ended.
	ByWorker LossCause = "worker"
	// ByFailure means that the run failed.
	ByFailure LossCause = "failure"
	// ByJob means that the job was cancelled or has failed.
	ByJob LossCause = "job"
	// ByStop means that the run was stopped for any other reason, for example a stall.
	ByStop LossCause = "stop"
)

// LossCauses returns all causes of lost work.
func LossCauses() []LossCause {
	return []LossCause{ByPreemption, ByGang, ByWorker, ByFailure, ByJob, ByStop}
}

// WorkLost is the kind of the decision that records the work that a run loses.
const WorkLost = "work lost"

// preempted is the reason of a stop by preemption.
const preempted = "preempted by a more urgent job"

// lossOf returns the work that the end of a run loses, in core-seconds from its placement on, and the cause. A run that
// is done or leaves a checkpoint loses none: the age of the checkpoint is not known.
func (c *Core) lossOf(now time.Time, e batch.End) (coreSeconds float64, cause LossCause) {
	j, known := c.state.Job(e.Task().Job())
	if !known || e.Outcome() == batch.Done || e.Checkpoint() != "" {
		return 0, ""
	}
	t, _ := j.Task(e.Task())
	step := j.Spec().Steps()[e.Task().Step()]
	if step.LongRunning() {
		return 0, ""
	}
	return now.Sub(t.PhaseSince()).Seconds() * step.Resources().CoreEquivalents(), c.lossCause(j, e)
}

func (c *Core) lossCause(j *batch.Job, e batch.End) LossCause {
	o := c.orders[run.NewID(e.Task(), e.Run())]
	switch {
	case o != nil && o.stopReason == preempted:
		return ByPreemption
	case !j.Active():
		return ByJob
	}
	switch e.Outcome() {
	case batch.Failed:
		return ByFailure
	case batch.Lost, batch.Lapsed:
		return ByWorker
	case batch.Broken, batch.Alone:
		return ByGang
	case batch.Stopped, batch.Done:
	}
	return ByStop
}
