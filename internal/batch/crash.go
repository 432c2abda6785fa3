package batch

import (
	"maps"
	"time"
)

const (
	// maxCrashes is the number of crashed workers after which a task is given up.
	maxCrashes = 4
	// maxCrashesIfConfirmed is that number for a task of which minConfirmedCrashes are confirmed.
	maxCrashesIfConfirmed = 3
	// minConfirmedCrashes is the number of confirmed crashes that show a task to be the cause: a single one may be a
	// coincidence.
	minConfirmedCrashes = 2
)

// CrashRecord counts the workers that crashed under a task, or under a gang, since it last made progress.
type CrashRecord struct {
	run        int
	crashes    int
	confirmed  int
	host       string
	checkpoint string
}

// RestoreCrashRecord returns a record as stored in a snapshot.
func RestoreCrashRecord(run, crashes, confirmed int, host, checkpoint string) CrashRecord {
	return CrashRecord{run: run, crashes: crashes, confirmed: confirmed, host: host, checkpoint: checkpoint}
}

// Run returns the number of the latest run that is counted; a run counts once.
func (r CrashRecord) Run() int { return r.run }

// Crashes returns the number of crashed workers.
func (r CrashRecord) Crashes() int { return r.crashes }

// Confirmed returns the number of crashes soon after a start, with nothing else started on that worker lately, on
// another host than the crash before.
func (r CrashRecord) Confirmed() int { return r.confirmed }

// Host returns the name of the host of the latest crash, empty for none.
func (r CrashRecord) Host() string { return r.host }

// Checkpoint returns the task's checkpoint at the latest crash, empty for none.
func (r CrashRecord) Checkpoint() string { return r.checkpoint }

// exhausted reports whether the task is to be given up.
func (r CrashRecord) exhausted() bool {
	return r.crashes >= maxCrashes || r.crashes >= maxCrashesIfConfirmed && r.confirmed >= minConfirmedCrashes
}

// CrashPhase says how far a run had come when its worker crashed, and whether others had just started there.
type CrashPhase string

// The phases of a run at the crash of its worker.
const (
	// CrashedAlone is a crash soon after the start, with no other job's run started on that worker lately.
	CrashedAlone CrashPhase = "alone"
	// CrashedAmongOthers is a crash soon after the start of runs of several jobs, any of which may be the cause.
	CrashedAmongOthers CrashPhase = "among others"
	// CrashedLater is a crash after the run had been at work for a while.
	CrashedLater CrashPhase = "later"
)

// RunCrash is a run under which a worker crashed.
type RunCrash struct {
	task  TaskID
	run   int
	host  string
	phase CrashPhase
}

// NewRunCrash returns the crash of the worker on a host under a run.
func NewRunCrash(task TaskID, run int, host string, phase CrashPhase) RunCrash {
	return RunCrash{task: task, run: run, host: host, phase: phase}
}

// Task returns the id of the task that was run.
func (c RunCrash) Task() TaskID { return c.task }

// Run returns the number of the run, from 1.
func (c RunCrash) Run() int { return c.run }

// Host returns the name of the worker's host.
func (c RunCrash) Host() string { return c.host }

// Phase returns how far the run had come.
func (c RunCrash) Phase() CrashPhase { return c.phase }

// RecordCrashes counts workers that crashed under runs, whether these runs have ended in the state or not. A job fails
// once too many workers have crashed under one of its tasks.
type RecordCrashes struct {
	crashes []RunCrash
	at      time.Time
}

func (RecordCrashes) command() {}

// NewRecordCrashes returns the command that counts crashes at the given time; a run that is counted already has no
// effect.
func NewRecordCrashes(at time.Time, crashes ...RunCrash) RecordCrashes {
	return RecordCrashes{crashes: crashes, at: at}
}

// Crashes returns the runs under which workers crashed.
func (c RecordCrashes) Crashes() []RunCrash { return c.crashes }

// At returns the time at which the crashes are recorded.
func (c RecordCrashes) At() time.Time { return c.at }

// CrashesRecorded is the result of RecordCrashes.
type CrashesRecorded struct{ givenUp []TaskID }

func (CrashesRecorded) result() {}

// GivenUp returns the tasks because of which the command failed their jobs.
func (r CrashesRecorded) GivenUp() []TaskID { return r.givenUp }

func (s State) recordCrashes(c RecordCrashes) (State, Result) {
	var givenUp []TaskID
	for _, crash := range c.crashes {
		j, known := s.jobs.Get(crash.task.job)
		if !known {
			continue
		}
		next, ok := j.recordCrash(crash, c.at)
		if !ok {
			continue
		}
		if !next.Active() {
			givenUp = append(givenUp, crash.task)
		}
		s = s.replaceJob(j, next)
	}
	return s, CrashesRecorded{givenUp: givenUp}
}

// Crashes returns the record of the crashes under a task; the tasks of a gang share one.
func (j *Job) Crashes(id TaskID) CrashRecord { return j.crashes[j.sharedID(id)] }

// HasCrashes reports whether a worker has crashed under any task of the job.
func (j *Job) HasCrashes() bool { return len(j.crashes) > 0 }

// CountsCrash reports whether a crash would change the record of its task.
func (j *Job) CountsCrash(c RunCrash) bool {
	t, known := j.Task(c.task)
	return known && j.Active() && c.run <= t.run && c.run > j.Crashes(c.task).run
}

// withoutOccurrence returns the records without those of an occurrence.
func withoutOccurrence(records map[TaskID]CrashRecord, occurrence int) map[TaskID]CrashRecord {
	kept := maps.Clone(records)
	maps.DeleteFunc(kept, func(id TaskID, _ CrashRecord) bool { return id.occurrence == occurrence })
	return kept
}

// recordCrash counts a crash. A task that has come further than at the crash before makes progress in spite of the
// crashes, so its count begins again; a long-running task that was at work has shown that its start is harmless.
func (j *Job) recordCrash(c RunCrash, at time.Time) (next *Job, ok bool) {
	if !j.CountsCrash(c) {
		return j, false
	}
	r, checkpoint := j.Crashes(c.task), j.Checkpoint(c.task)
	switch {
	case c.phase == CrashedLater && j.spec.steps[c.task.step].longRunning:
		r = CrashRecord{}
	case c.phase == CrashedLater && checkpoint != r.checkpoint:
		r = CrashRecord{crashes: 1}
	case c.phase == CrashedLater || c.phase == CrashedAmongOthers || c.host == r.host:
		r.crashes++
	default:
		r.crashes++
		r.confirmed++
	}
	r.run, r.host, r.checkpoint = c.run, c.host, checkpoint
	updated := *j
	updated.crashes = maps.Clone(j.crashes)
	if updated.crashes == nil {
		updated.crashes = map[TaskID]CrashRecord{}
	}
	updated.crashes[j.sharedID(c.task)] = r
	if r.exhausted() {
		return updated.finish(JobFailed, at), true
	}
	return &updated, true
}
