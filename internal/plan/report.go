package plan

import "time"

// Usage is a worker's report of the accelerators that its tasks hold.
type Usage struct {
	worker string
	at     time.Time
	inUse  int
}

// NewUsage returns a report that the worker made at the given time.
func NewUsage(worker string, at time.Time, inUse int) Usage {
	return Usage{worker: worker, at: at, inUse: inUse}
}

// Worker returns the name of the reporting worker.
func (u Usage) Worker() string { return u.worker }

// At returns the time of the report.
func (u Usage) At() time.Time { return u.at }

// InUse returns the number of accelerators that the tasks held at the time of the report.
func (u Usage) InUse() int { return u.inUse }

// Progress is the start time and the checkpoints of a running job.
type Progress struct {
	job            string
	startedAt      time.Time
	checkpointedAt time.Time
	checkpointTime time.Duration
}

// NewProgress returns the progress of a job that was started at the given time and has no checkpoint.
func NewProgress(id string, startedAt time.Time) Progress {
	return Progress{job: id, startedAt: startedAt}
}

// WithCheckpoint returns the progress with the time of the last checkpoint, zero if there is none, and the duration
// of one checkpoint.
func (p Progress) WithCheckpoint(at time.Time, takes time.Duration) Progress {
	p.checkpointedAt, p.checkpointTime = at, takes
	return p
}

// Job returns the ID of the running job.
func (p Progress) Job() string { return p.job }

// StartedAt returns the time at which the members were started.
func (p Progress) StartedAt() time.Time { return p.startedAt }

// CheckpointedAt returns the time of the last checkpoint, zero if there is none.
func (p Progress) CheckpointedAt() time.Time { return p.checkpointedAt }

// CheckpointTime returns the duration of a checkpoint, 0 if it is unknown.
func (p Progress) CheckpointTime() time.Duration { return p.checkpointTime }

// StartOutcome is the result of one attempt to start a task on a worker.
type StartOutcome struct {
	worker string
	job    string
	at     time.Time
	ok     bool
}

// NewStartOutcome returns the result of an attempt that ended at the given time.
func NewStartOutcome(worker, id string, at time.Time, ok bool) StartOutcome {
	return StartOutcome{worker: worker, job: id, at: at, ok: ok}
}

// Worker returns the name of the worker that was to start the task.
func (s StartOutcome) Worker() string { return s.worker }

// Job returns the ID of the task's job.
func (s StartOutcome) Job() string { return s.job }

// At returns the time at which the result was known.
func (s StartOutcome) At() time.Time { return s.at }

// OK reports whether the task started.
func (s StartOutcome) OK() bool { return s.ok }
