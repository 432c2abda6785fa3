package placement

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// Forecast holds the ends of runs and the durations of tasks as derived from the progress of runs. The durations that
// callers declare are used only without an observation, because they are often far off. A Forecast is immutable.
type Forecast struct {
	ends      map[run.ID]time.Time
	durations map[StepKey]time.Duration
	serving   map[run.ID]bool
}

// StepKey identifies a step of a job in all occurrences of the job, which are its starts under a schedule.
type StepKey struct {
	job  string
	step int
}

// NewStepKey returns the key of the step that a task belongs to.
func NewStepKey(id batch.TaskID) StepKey { return StepKey{job: id.Job(), step: id.Step()} }

// Job returns the id of the job that the step belongs to.
func (k StepKey) Job() string { return k.job }

// NewForecast returns a forecast from the expected ends of runs and the observed duration of a task of each step, which
// is the shortest one because longer ones come from slow workers. A run or step without an observation is absent. The
// maps are not copied and must not change while the forecast is in use.
func NewForecast(ends map[run.ID]time.Time, durations map[StepKey]time.Duration) Forecast {
	return Forecast{ends: ends, durations: durations}
}

// WithServing returns a copy of the forecast with the runs of long-running tasks that are fully started and serving.
func (f Forecast) WithServing(runs map[run.ID]bool) Forecast {
	f.serving = runs
	return f
}

// WithForecast returns a copy of the view that takes ends and durations from a forecast.
func (v View) WithForecast(f Forecast) View {
	v.forecast = f
	return v
}

// longRunningDuration is the duration that is assumed for a long-running task.
const longRunningDuration = 365 * 24 * time.Hour

// taskDuration returns how long a task of a step takes, as observed or, without an observation, as declared.
func (v View) taskDuration(j *batch.Job, step int) time.Duration {
	if j.Spec().Steps()[step].LongRunning() {
		return longRunningDuration
	}
	if d, observed := v.forecast.durations[StepKey{j.Spec().ID(), step}]; observed {
		return d
	}
	return j.Spec().Steps()[step].Estimate()
}
