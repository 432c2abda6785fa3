package run

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// Crash is the end of a worker process that neither drained nor announced its termination, while the agent beside it
// ran on; it is immutable. A worker that loses power takes its agent with it, so no agent reports that as a crash.
type Crash struct {
	worker batch.Incarnation
	runs   []CrashedRun
}

// NewCrash returns the crash of a worker under the runs that it had begun, or may have begun.
func NewCrash(worker batch.Incarnation, runs ...CrashedRun) Crash {
	return Crash{worker: worker, runs: runs}
}

// Worker returns the incarnation that crashed.
func (c Crash) Worker() batch.Incarnation { return c.worker }

// Runs returns the runs that had not ended when the worker crashed.
func (c Crash) Runs() []CrashedRun { return c.runs }

// CrashedRun is a run under which a worker crashed.
type CrashedRun struct {
	id  ID
	age time.Duration
}

// NewCrashedRun returns a run whose start was sent to the worker the given time before the crash was noticed.
func NewCrashedRun(id ID, age time.Duration) CrashedRun { return CrashedRun{id: id, age: age} }

// ID returns the id of the run.
func (r CrashedRun) ID() ID { return r.id }

// Age returns the time from the sending of the start to the crash, on the agent's clock.
func (r CrashedRun) Age() time.Duration { return r.age }
