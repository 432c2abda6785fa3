package placement

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// Forecast is what running tasks have shown so far; declared durations are often far off. It is immutable.
type Forecast struct {
	ends    map[run.ID]time.Time
	lengths map[StepKey]time.Duration
	working map[run.ID]bool
}

// StepKey names a step of a job, in all its occurrences.
type StepKey struct {
	job  string
	step int
}

// NewStepKey returns the key of the step of a task.
func NewStepKey(id batch.TaskID) StepKey { return StepKey{job: id.Job(), step: id.Step()} }

// Job returns the job's id.
func (k StepKey) Job() string { return k.job }

// NewForecast returns the expected ends of runs and the duration of a task of each step that has shown it.
func NewForecast(ends map[run.ID]time.Time, lengths map[StepKey]time.Duration) Forecast {
	return Forecast{ends: ends, lengths: lengths}
}

// WithWorking returns the forecast with the runs of lasting tasks that are at work.
func (f Forecast) WithWorking(runs map[run.ID]bool) Forecast {
	f.working = runs
	return f
}

// WithForecast returns the view with what running tasks have shown.
func (v View) WithForecast(f Forecast) View {
	v.forecast = f
	return v
}

// lasting is how long a task that lasts is taken to run.
const lasting = 365 * 24 * time.Hour

// length returns how long a task of a step takes, as shown or else as declared.
func (v View) length(j *batch.Job, step int) time.Duration {
	if j.Spec().Steps()[step].LongRunning() {
		return lasting
	}
	if d, shown := v.forecast.lengths[StepKey{j.Spec().ID(), step}]; shown {
		return d
	}
	return j.Spec().Steps()[step].Estimate()
}
