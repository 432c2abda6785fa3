package wire

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// The kinds of commands of the batch state.
const (
	batchDeclare = "declare"
	batchSubmit  = "submit"
	batchCancel  = "cancel"
	batchBegin   = "begin"
	batchFinish  = "finish"
	batchSave    = "save"
	batchForget  = "forget"
	batchWave    = "wave"
	batchUpkeep  = "maintain"
	batchBarrier = "barrier"
)

type batchForm struct {
	Kind      string      `cbor:"1,keyasint"`
	Document  []byte      `cbor:"2,keyasint,omitempty"`
	ID        string      `cbor:"3,keyasint,omitempty"`
	Queue     string      `cbor:"4,keyasint,omitempty"`
	Workspace string      `cbor:"5,keyasint,omitempty"`
	At        int64       `cbor:"6,keyasint,omitempty"`
	Groups    []groupForm `cbor:"7,keyasint,omitempty"`
	Ends      []endForm   `cbor:"8,keyasint,omitempty"`
	Marks     []markForm  `cbor:"9,keyasint,omitempty"`
	Wave      *waveForm   `cbor:"10,keyasint,omitempty"`
	Upkeep    *upkeepForm `cbor:"11,keyasint,omitempty"`
}

type taskForm struct {
	_          struct{} `cbor:",toarray"`
	Job        string
	Occurrence int
	Step       int
	Index      int
}

type lifeForm struct {
	_    struct{} `cbor:",toarray"`
	Host string
	ID   string
	Born int64
}

type placedMemberForm struct {
	_      struct{} `cbor:",toarray"`
	Index  int
	Run    int
	Worker lifeForm
}

type groupForm struct {
	_       struct{} `cbor:",toarray"`
	Step    taskForm
	Members []placedMemberForm
}

type endForm struct {
	_          struct{} `cbor:",toarray"`
	Task       taskForm
	Run        int
	How        string
	Checkpoint string
}

type markForm struct {
	_          struct{} `cbor:",toarray"`
	Task       taskForm
	Run        int
	Checkpoint string
}

type waveForm struct {
	Number   int64               `cbor:"1,keyasint"`
	Machines []string            `cbor:"2,keyasint"`
	Most     int                 `cbor:"3,keyasint"`
	Ends     int64               `cbor:"4,keyasint"`
	Begun    map[string]lifeForm `cbor:"5,keyasint,omitempty"`
	Skipped  map[string]bool     `cbor:"6,keyasint,omitempty"`
}

type upkeepForm struct {
	_       struct{} `cbor:",toarray"`
	Wave    int64
	Machine string
	Worker  lifeForm
	Skipped bool
}

func newWaveForm(w batch.Wave) waveForm {
	f := waveForm{Number: w.Number(), Machines: w.Machines(), Most: w.MaxDown(), Ends: toNanos(w.Deadline())}
	for _, m := range w.Machines() {
		if life, begun := w.Begun(m); begun {
			if f.Begun == nil {
				f.Begun = map[string]lifeForm{}
			}
			f.Begun[m] = newLifeForm(life)
		}
		if w.Skipped(m) {
			if f.Skipped == nil {
				f.Skipped = map[string]bool{}
			}
			f.Skipped[m] = true
		}
	}
	return f
}

func (f waveForm) wave() batch.Wave {
	w := batch.NewWave(f.Number, f.Machines, f.Most, fromNanos(f.Ends))
	if len(f.Begun) == 0 && len(f.Skipped) == 0 {
		return w
	}
	begun := make(map[string]batch.Incarnation, len(f.Begun))
	for m, life := range f.Begun {
		begun[m] = life.life()
	}
	return batch.RestoreWave(w, begun, f.Skipped)
}

func newTaskForm(t batch.TaskID) taskForm {
	return taskForm{Job: t.Job(), Occurrence: t.Occurrence(), Step: t.Step(), Index: t.Index()}
}

func (f taskForm) task() batch.TaskID {
	return batch.NewTaskID(f.Job, f.Occurrence, f.Step, f.Index)
}

func newLifeForm(l batch.Incarnation) lifeForm {
	return lifeForm{Host: l.Host(), ID: l.ID(), Born: l.StartUnixMS()}
}

func (f lifeForm) life() batch.Incarnation { return batch.NewIncarnation(f.Host, f.ID, f.Born) }

func newEndForm(e batch.End) endForm {
	return endForm{Task: newTaskForm(e.Task()), Run: e.Run(), How: string(e.Outcome()), Checkpoint: e.Checkpoint()}
}

func (f endForm) end() batch.End {
	return batch.NewEnd(f.Task.task(), f.Run, batch.RunOutcome(f.How), f.Checkpoint)
}

func newGroupForm(g batch.Group) groupForm {
	f := groupForm{Step: newTaskForm(g.Step())}
	for _, m := range g.Members() {
		f.Members = append(f.Members, placedMemberForm{Index: m.Index(), Run: m.Run(), Worker: newLifeForm(m.Worker())})
	}
	return f
}

func (f groupForm) group() batch.Group {
	members := make([]batch.Member, len(f.Members))
	for i, m := range f.Members {
		members[i] = batch.NewMember(m.Index, m.Run, m.Worker.life())
	}
	return batch.NewGroup(f.Step.task(), members...)
}

// EncodeBatch encodes a command of the batch state for the log.
func EncodeBatch(c batch.Command) (data []byte, err error) {
	defer annotate("encode command", &err)
	var f batchForm
	switch c := c.(type) {
	case batch.Declare:
		f = batchForm{Kind: batchDeclare, Document: c.Document()}
	case batch.Submit:
		f = submitForm(c)
	case batch.Cancel:
		f = batchForm{Kind: batchCancel, ID: c.ID(), At: toNanos(c.At())}
	case batch.PlaceRuns:
		f = batchForm{Kind: batchBegin, At: toNanos(c.At())}
		for _, g := range c.Groups() {
			f.Groups = append(f.Groups, newGroupForm(g))
		}
	case batch.EndRuns:
		f = batchForm{Kind: batchFinish, At: toNanos(c.At())}
		for _, e := range c.Ends() {
			f.Ends = append(f.Ends, newEndForm(e))
		}
	case batch.SaveCheckpoints:
		f = batchForm{Kind: batchSave}
		for _, m := range c.Checkpoints() {
			f.Marks = append(f.Marks, markForm{Task: newTaskForm(m.Task()), Run: m.Run(), Checkpoint: m.Checkpoint()})
		}
	case batch.StartWave:
		w := newWaveForm(c.Wave())
		f = batchForm{Kind: batchWave, Wave: &w}
	case batch.RecordMaintenance:
		f = batchForm{Kind: batchUpkeep, Upkeep: &upkeepForm{
			Wave: c.Wave(), Machine: c.Machine(), Worker: newLifeForm(c.Worker()), Skipped: c.Skipped(),
		}}
	case batch.PruneJobs:
		f = batchForm{Kind: batchForget, At: toNanos(c.Before())}
	case batch.Barrier:
		f = batchForm{Kind: batchBarrier}
	}
	return cbor.Marshal(f)
}

func submitForm(c batch.Submit) batchForm {
	return batchForm{
		Kind: batchSubmit, Document: c.Document(), ID: c.ID(), Queue: c.Queue(), Workspace: c.Workspace(), At: toNanos(c.At()),
	}
}

func (f batchForm) submit() batch.Submit {
	return batch.NewSubmit(f.ID, f.Queue, f.Workspace, f.Document, fromNanos(f.At))
}

// DecodeBatch reads a command of the batch state.
func DecodeBatch(data []byte) (c batch.Command, err error) {
	defer annotate("decode command", &err)
	var f batchForm
	if err = cbor.Unmarshal(data, &f); err != nil {
		return nil, err
	}
	switch {
	case f.Kind == batchWave && f.Wave != nil:
		return batch.NewStartWave(f.Wave.wave()), nil
	case f.Kind == batchUpkeep && f.Upkeep != nil && f.Upkeep.Skipped:
		return batch.NewSkipMachine(f.Upkeep.Wave, f.Upkeep.Machine), nil
	case f.Kind == batchUpkeep && f.Upkeep != nil:
		return batch.NewRecordMaintenance(f.Upkeep.Wave, f.Upkeep.Machine, f.Upkeep.Worker.life()), nil
	}
	switch f.Kind {
	case batchDeclare:
		return batch.NewDeclare(f.Document), nil
	case batchSubmit:
		return f.submit(), nil
	case batchCancel:
		return batch.NewCancel(f.ID, fromNanos(f.At)), nil
	case batchBegin:
		groups := make([]batch.Group, len(f.Groups))
		for i, g := range f.Groups {
			groups[i] = g.group()
		}
		return batch.NewPlaceRuns(fromNanos(f.At), groups...), nil
	case batchFinish:
		ends := make([]batch.End, len(f.Ends))
		for i, e := range f.Ends {
			ends[i] = e.end()
		}
		return batch.NewEndRuns(fromNanos(f.At), ends...), nil
	case batchSave:
		marks := make([]batch.RunCheckpoint, len(f.Marks))
		for i, m := range f.Marks {
			marks[i] = batch.NewRunCheckpoint(m.Task.task(), m.Run, m.Checkpoint)
		}
		return batch.NewSaveCheckpoints(marks...), nil
	case batchForget:
		return batch.NewPruneJobs(fromNanos(f.At)), nil
	case batchBarrier:
		return batch.Barrier{}, nil
	}
	return nil, fmt.Errorf("unknown kind %q", f.Kind)
}

type batchStateForm struct {
	Document []byte         `cbor:"1,keyasint"`
	Jobs     []batchJobForm `cbor:"2,keyasint"`
	Waves    []waveForm     `cbor:"3,keyasint,omitempty"`
}

type batchJobForm struct {
	Submit  batchForm            `cbor:"1,keyasint"`
	Queue   queueForm            `cbor:"2,keyasint"`
	Result  string               `cbor:"3,keyasint,omitempty"`
	Ended   int64                `cbor:"4,keyasint,omitempty"`
	Started bool                 `cbor:"5,keyasint,omitempty"`
	Tasks   [][][]batchTaskState `cbor:"6,keyasint"`
}

type queueForm struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Service  string
	Priority int
	Attempts int
	Stretch  float64
	Aim      int64
	Open     bool
}

type batchTaskState struct {
	_          struct{} `cbor:",toarray"`
	Phase      string
	Run        int
	Worker     lifeForm
	Since      int64
	Failures   int
	FailedRun  int
	Checkpoint string
}

// EncodeBatchState encodes the whole batch state for a snapshot.
func EncodeBatchState(s batch.State) (data []byte, err error) {
	defer annotate("encode state", &err)
	f := batchStateForm{Document: s.Document()}
	for _, w := range s.Waves() {
		f.Waves = append(f.Waves, newWaveForm(w))
	}
	for _, j := range s.Jobs().All() {
		r := batch.SnapshotJob(j)
		q := r.Queue()
		f.Jobs = append(f.Jobs, batchJobForm{
			Submit: submitForm(r.Submit()), Result: string(r.Result()), Ended: toNanos(r.Ended()), Started: r.Started(),
			Queue: queueForm{
				Name: q.Name(), Service: q.Service(), Priority: q.Priority(), Attempts: q.Attempts(),
				Stretch: q.Slowdown(), Aim: int64(q.TargetLatency()), Open: q.Public(),
			},
			Tasks: convertTasks(r.Tasks(), func(t batch.Task) batchTaskState {
				return batchTaskState{
					Phase: string(t.Phase()), Run: t.Run(), Worker: newLifeForm(t.Worker()), Since: toNanos(t.PhaseSince()),
					Failures: t.Failures(), FailedRun: t.FailedRun(), Checkpoint: t.Checkpoint(),
				}
			}),
		})
	}
	return cbor.Marshal(f)
}

// DecodeBatchState reads the whole batch state from a snapshot.
func DecodeBatchState(d batch.Decoder, data []byte) (s batch.State, err error) {
	defer annotate("decode state", &err)
	var f batchStateForm
	if err = cbor.Unmarshal(data, &f); err != nil {
		return s, err
	}
	jobs := make([]batch.JobSnapshot, len(f.Jobs))
	for i, j := range f.Jobs {
		q := batch.NewQueue(j.Queue.Name, "", "", j.Queue.Service).WithPolicy(j.Queue.Priority, j.Queue.Attempts).
			WithObjective(j.Queue.Stretch, time.Duration(j.Queue.Aim), 0).WithPublic(j.Queue.Open)
		jobs[i] = batch.NewJobSnapshot(j.Submit.submit(), q, batch.JobState(j.Result), fromNanos(j.Ended), j.Started,
			convertTasks(j.Tasks, func(t batchTaskState) batch.Task {
				return batch.RestoreTask(batch.Phase(t.Phase), t.Run, t.Worker.life(), fromNanos(t.Since), t.Failures, t.FailedRun, t.Checkpoint)
			}))
	}
	if s, err = batch.RestoreState(d, f.Document, jobs); err != nil {
		return s, err
	}
	waves := make([]batch.Wave, len(f.Waves))
	for i, w := range f.Waves {
		waves[i] = w.wave()
	}
	return s.WithWaves(waves), nil
}

// convertTasks converts the tasks of a job, which are kept by occurrence, step and index.
func convertTasks[A, B any](from [][][]A, convert func(A) B) [][][]B {
	to := make([][][]B, len(from))
	for k := range from {
		to[k] = make([][]B, len(from[k]))
		for i := range from[k] {
			to[k][i] = make([]B, len(from[k][i]))
			for n := range from[k][i] {
				to[k][i][n] = convert(from[k][i][n])
			}
		}
	}
	return to
}
