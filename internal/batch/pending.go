package batch

// isPending reports whether the job is active and has never had a placed run.
func (j *Job) isPending() bool { return j.Active() && !j.started }

// countPending returns 1 for a pending job, else 0.
func countPending(j *Job) int {
	if j.isPending() {
		return 1
	}
	return 0
}

// Pending returns the number of active jobs of a queue that have never had a placed run.
func (s State) Pending(queue string) int { return s.pending[queue] }

// replaceJob returns the state with the next value of a job that it has.
func (s State) replaceJob(old, next *Job) State {
	s.jobs = s.jobs.With(next.spec.id, next)
	s.pending = s.pending.plus(next.queue.name, countPending(next)-countPending(old))
	return s
}
