package wire

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// The kinds of commands for the batch state, as stored in the log.
const (
	batchDeclare         = "declare"
	batchSubmit          = "submit"
	batchCancel          = "cancel"
	batchPlaceRuns       = "begin"
	batchEndRuns         = "finish"
	batchSaveCheckpoints = "save"
	batchRecordCrashes   = "crash"
	batchPruneJobs       = "forget"
	batchStartWave       = "wave"
	batchMaintenance     = "maintain"
	batchEvacuateZone    = "evacuate"
	batchReopenZone      = "reopen"
	batchBarrier         = "barrier"
)

type batchForm struct {
	Kind        string           `cbor:"1,keyasint"`
	Document    []byte           `cbor:"2,keyasint,omitempty"`
	ID          string           `cbor:"3,keyasint,omitempty"`
	Queue       string           `cbor:"4,keyasint,omitempty"`
	Workspace   string           `cbor:"5,keyasint,omitempty"`
	At          int64            `cbor:"6,keyasint,omitempty"`
	Groups      []groupForm      `cbor:"7,keyasint,omitempty"`
	Ends        []endForm        `cbor:"8,keyasint,omitempty"`
	Checkpoints []checkpointForm `cbor:"9,keyasint,omitempty"`
	Wave        *waveForm        `cbor:"10,keyasint,omitempty"`
	Maintenance *maintenanceForm `cbor:"11,keyasint,omitempty"`
	Crashes     []runCrashForm   `cbor:"12,keyasint,omitempty"`
	Zone        string           `cbor:"13,keyasint,omitempty"`
	Reason      string           `cbor:"14,keyasint,omitempty"`
}

type taskForm struct {
	_          struct{} `cbor:",toarray"`
	Job        string
	Occurrence int
	Step       int
	Index      int
}

type incarnationForm struct {
	_           struct{} `cbor:",toarray"`
	Host        string
	ID          string
	StartUnixMS int64
}

type groupMemberForm struct {
	_      struct{} `cbor:",toarray"`
	Index  int
	Run    int
	Worker incarnationForm
}

type groupForm struct {
	_       struct{} `cbor:",toarray"`
	Step    taskForm
	Members []groupMemberForm
}

type endForm struct {
	_          struct{} `cbor:",toarray"`
	Task       taskForm
	Run        int
	Outcome    string
	Checkpoint string
}

type checkpointForm struct {
	_          struct{} `cbor:",toarray"`
	Task       taskForm
	Run        int
	Checkpoint string
}

type waveForm struct {
	Number   int64                      `cbor:"1,keyasint"`
	Machines []string                   `cbor:"2,keyasint"`
	MaxDown  int                        `cbor:"3,keyasint"`
	Deadline int64                      `cbor:"4,keyasint"`
	Begun    map[string]incarnationForm `cbor:"5,keyasint,omitempty"`
	Skipped  map[string]bool            `cbor:"6,keyasint,omitempty"`
}

type maintenanceForm struct {
	_       struct{} `cbor:",toarray"`
	Wave    int64
	Machine string
	Worker  incarnationForm
	Skipped bool
}

func newWaveForm(w batch.Wave) waveForm {
	f := waveForm{Number: w.Number(), Machines: w.Machines(), MaxDown: w.MaxDown(), Deadline: toNanos(w.Deadline())}
	for _, m := range w.Machines() {
		if i, begun := w.Begun(m); begun {
			if f.Begun == nil {
				f.Begun = map[string]incarnationForm{}
			}
			f.Begun[m] = newIncarnationForm(i)
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
	w := batch.NewWave(f.Number, f.Machines, f.MaxDown, fromNanos(f.Deadline))
	if len(f.Begun) == 0 && len(f.Skipped) == 0 {
		return w
	}
	begun := make(map[string]batch.Incarnation, len(f.Begun))
	for m, i := range f.Begun {
		begun[m] = i.incarnation()
	}
	return batch.RestoreWave(w, begun, f.Skipped)
}

func newTaskForm(t batch.TaskID) taskForm {
	return taskForm{Job: t.Job(), Occurrence: t.Occurrence(), Step: t.Step(), Index: t.Index()}
}

func (f taskForm) task() batch.TaskID {
	return batch.NewTaskID(f.Job, f.Occurrence, f.Step, f.Index)
}

func newIncarnationForm(i batch.Incarnation) incarnationForm {
	return incarnationForm{Host: i.Host(), ID: i.ID(), StartUnixMS: i.StartUnixMS()}
}

func (f incarnationForm) incarnation() batch.Incarnation {
	return batch.NewIncarnation(f.Host, f.ID, f.StartUnixMS)
}

func newEndForm(e batch.End) endForm {
	return endForm{Task: newTaskForm(e.Task()), Run: e.Run(), Outcome: string(e.Outcome()), Checkpoint: e.Checkpoint()}
}

func (f endForm) end() batch.End {
	return batch.NewEnd(f.Task.task(), f.Run, batch.RunOutcome(f.Outcome), f.Checkpoint)
}

func newGroupForm(g batch.Group) groupForm {
	f := groupForm{Step: newTaskForm(g.Step())}
	for _, m := range g.Members() {
		f.Members = append(f.Members, groupMemberForm{Index: m.Index(), Run: m.Run(), Worker: newIncarnationForm(m.Worker())})
	}
	return f
}

func (f groupForm) group() batch.Group {
	members := make([]batch.Member, len(f.Members))
	for i, m := range f.Members {
		members[i] = batch.NewMember(m.Index, m.Run, m.Worker.incarnation())
	}
	return batch.NewGroup(f.Step.task(), members...)
}

// EncodeBatch returns the log record of a command for the batch state.
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
		f = batchForm{Kind: batchPlaceRuns, At: toNanos(c.At())}
		for _, g := range c.Groups() {
			f.Groups = append(f.Groups, newGroupForm(g))
		}
	case batch.EndRuns:
		f = batchForm{Kind: batchEndRuns, At: toNanos(c.At())}
		for _, e := range c.Ends() {
			f.Ends = append(f.Ends, newEndForm(e))
		}
	case batch.SaveCheckpoints:
		f = batchForm{Kind: batchSaveCheckpoints}
		for _, cp := range c.Checkpoints() {
			f.Checkpoints = append(f.Checkpoints, checkpointForm{Task: newTaskForm(cp.Task()), Run: cp.Run(), Checkpoint: cp.Checkpoint()})
		}
	case batch.RecordCrashes:
		f = batchForm{Kind: batchRecordCrashes, At: toNanos(c.At())}
		for _, crash := range c.Crashes() {
			f.Crashes = append(f.Crashes, newRunCrashForm(crash))
		}
	case batch.StartWave:
		w := newWaveForm(c.Wave())
		f = batchForm{Kind: batchStartWave, Wave: &w}
	case batch.RecordMaintenance:
		f = batchForm{Kind: batchMaintenance, Maintenance: &maintenanceForm{
			Wave: c.Wave(), Machine: c.Machine(), Worker: newIncarnationForm(c.Worker()), Skipped: c.Skipped(),
		}}
	case batch.EvacuateZone:
		e := c.Evacuation()
		f = batchForm{Kind: batchEvacuateZone, Zone: e.Zone(), Reason: e.Reason(), At: toNanos(e.Since())}
	case batch.ReopenZone:
		f = batchForm{Kind: batchReopenZone, Zone: c.Zone()}
	case batch.PruneJobs:
		f = batchForm{Kind: batchPruneJobs, At: toNanos(c.Before())}
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

// DecodeBatch returns the command for the batch state that a log record contains.
func DecodeBatch(data []byte) (c batch.Command, err error) {
	defer annotate("decode command", &err)
	var f batchForm
	if err = cbor.Unmarshal(data, &f); err != nil {
		return nil, err
	}
	switch {
	case f.Kind == batchStartWave && f.Wave != nil:
		return batch.NewStartWave(f.Wave.wave()), nil
	case f.Kind == batchMaintenance && f.Maintenance != nil && f.Maintenance.Skipped:
		return batch.NewSkipMachine(f.Maintenance.Wave, f.Maintenance.Machine), nil
	case f.Kind == batchMaintenance && f.Maintenance != nil:
		return batch.NewRecordMaintenance(f.Maintenance.Wave, f.Maintenance.Machine, f.Maintenance.Worker.incarnation()), nil
	}
	switch f.Kind {
	case batchDeclare:
		return batch.NewDeclare(f.Document), nil
	case batchSubmit:
		return f.submit(), nil
	case batchCancel:
		return batch.NewCancel(f.ID, fromNanos(f.At)), nil
	case batchPlaceRuns:
		groups := make([]batch.Group, len(f.Groups))
		for i, g := range f.Groups {
			groups[i] = g.group()
		}
		return batch.NewPlaceRuns(fromNanos(f.At), groups...), nil
	case batchEndRuns:
		ends := make([]batch.End, len(f.Ends))
		for i, e := range f.Ends {
			ends[i] = e.end()
		}
		return batch.NewEndRuns(fromNanos(f.At), ends...), nil
	case batchSaveCheckpoints:
		checkpoints := make([]batch.RunCheckpoint, len(f.Checkpoints))
		for i, cp := range f.Checkpoints {
			checkpoints[i] = batch.NewRunCheckpoint(cp.Task.task(), cp.Run, cp.Checkpoint)
		}
		return batch.NewSaveCheckpoints(checkpoints...), nil
	case batchRecordCrashes:
		crashes := make([]batch.RunCrash, len(f.Crashes))
		for i, crash := range f.Crashes {
			crashes[i] = crash.crash()
		}
		return batch.NewRecordCrashes(fromNanos(f.At), crashes...), nil
	case batchPruneJobs:
		return batch.NewPruneJobs(fromNanos(f.At)), nil
	case batchEvacuateZone:
		return batch.NewEvacuateZone(batch.NewEvacuation(f.Zone, f.Reason, fromNanos(f.At))), nil
	case batchReopenZone:
		return batch.NewReopenZone(f.Zone), nil
	case batchBarrier:
		return batch.Barrier{}, nil
	}
	return nil, fmt.Errorf("unknown kind %q", f.Kind)
}

// batchStateForm holds the jobs as encoded batchJobForms, so that those of one job at a time take memory.
type batchStateForm struct {
	Document    []byte            `cbor:"1,keyasint"`
	Jobs        []cbor.RawMessage `cbor:"2,keyasint"`
	Waves       []waveForm        `cbor:"3,keyasint,omitempty"`
	Evacuations []evacuationForm  `cbor:"4,keyasint,omitempty"`
}

type batchJobForm struct {
	Submit    batchForm           `cbor:"1,keyasint"`
	Queue     queueForm           `cbor:"2,keyasint"`
	Result    string              `cbor:"3,keyasint,omitempty"`
	Ended     int64               `cbor:"4,keyasint,omitempty"`
	Started   bool                `cbor:"5,keyasint,omitempty"`
	Tasks     [][][]batchTaskForm `cbor:"6,keyasint"` // by occurrence, step and index
	Crashes   []crashRecordForm   `cbor:"7,keyasint,omitempty"`
	Numbers   []int               `cbor:"8,keyasint,omitempty"`  // of the occurrences in Tasks
	Next      int                 `cbor:"9,keyasint,omitempty"`  // the first occurrence that has not begun
	Sparse    bool                `cbor:"10,keyasint,omitempty"` // whether Numbers and Next are set; otherwise Tasks has all occurrences
	QueuePath queuePathForm       `cbor:"11,keyasint"`
	Equal     [][][]equalTasks    `cbor:"12,keyasint,omitempty"` // in place of Tasks for a large job: by occurrence and step
}

// queuePathForm holds the properties of a queue that older snapshots lack; queueForm cannot grow, since its fields are
// encoded by position.
type queuePathForm struct {
	Host           string `cbor:"1,keyasint,omitempty"`
	Prefix         string `cbor:"2,keyasint,omitempty"`
	Timeout        int64  `cbor:"3,keyasint,omitempty"`
	RequiresAdvice bool   `cbor:"4,keyasint,omitempty"`
}

type queueForm struct {
	_             struct{} `cbor:",toarray"`
	Name          string
	Service       string
	Priority      int
	Attempts      int
	Slowdown      float64
	TargetLatency int64
	Public        bool
}

// EncodeBatchState returns a snapshot of the whole batch state.
func EncodeBatchState(s batch.State) (data []byte, err error) {
	defer annotate("encode state", &err)
	f := batchStateForm{Document: s.Document()}
	for _, w := range s.Waves() {
		f.Waves = append(f.Waves, newWaveForm(w))
	}
	for _, e := range s.Evacuations() {
		f.Evacuations = append(f.Evacuations, newEvacuationForm(e))
	}
	for _, j := range s.Jobs().All() {
		encoded, err := cbor.Marshal(newBatchJobForm(batch.SnapshotJob(j)))
		if err != nil {
			return nil, err
		}
		f.Jobs = append(f.Jobs, encoded)
	}
	return cbor.Marshal(f)
}

func newBatchJobForm(r batch.JobSnapshot) batchJobForm {
	q := r.Queue()
	f := batchJobForm{
		Submit: submitForm(r.Submit()), Result: string(r.Result()), Ended: toNanos(r.Ended()), Started: r.Started(),
		Queue: queueForm{
			Name: q.Name(), Service: q.Service(), Priority: q.Priority(), Attempts: q.Attempts(),
			Slowdown: q.Slowdown(), TargetLatency: int64(q.TargetLatency()), Public: q.Public(),
		},
		QueuePath: queuePathForm{Host: q.Host(), Prefix: q.Prefix(), Timeout: int64(q.Timeout()), RequiresAdvice: q.RequiresAdvice()},
		Crashes:   newCrashRecordForms(r.Crashes()),
	}
	if !r.All() {
		f.Sparse, f.Numbers, f.Next = true, r.Numbers(), r.Next()
	}
	if countTasks(r.Tasks()) > batch.MaxListedTasks {
		f.Equal = convertLists(r.Tasks(), newEqualTasks)
	} else {
		f.Tasks = convertLists(r.Tasks(), newBatchTaskForms)
	}
	return f
}

// DecodeBatchState restores the batch state from a snapshot; d decodes the documents in it.
func DecodeBatchState(d batch.Decoder, data []byte) (s batch.State, err error) {
	defer annotate("decode state", &err)
	var f batchStateForm
	if err = unmarshalState(data, &f); err != nil {
		return s, err
	}
	jobs := make([]batch.JobSnapshot, len(f.Jobs))
	for i, encoded := range f.Jobs {
		var j batchJobForm
		if err = unmarshalState(encoded, &j); err != nil {
			return s, err
		}
		if jobs[i], err = j.job(); err != nil {
			return s, err
		}
	}
	if s, err = batch.RestoreState(d, f.Document, jobs); err != nil {
		return s, err
	}
	waves := make([]batch.Wave, len(f.Waves))
	for i, w := range f.Waves {
		waves[i] = w.wave()
	}
	return s.WithWaves(waves).WithEvacuations(toEvacuations(f.Evacuations)), nil
}

func (f batchJobForm) job() (r batch.JobSnapshot, err error) {
	q := batch.NewQueue(f.Queue.Name, f.QueuePath.Host, f.QueuePath.Prefix, f.Queue.Service).
		WithPolicy(f.Queue.Priority, f.Queue.Attempts).WithPublic(f.Queue.Public).WithRequiredAdvice(f.QueuePath.RequiresAdvice).
		WithObjective(f.Queue.Slowdown, time.Duration(f.Queue.TargetLatency), time.Duration(f.QueuePath.Timeout))
	steps := convertForms(f.Tasks, func(b *batch.TaskListBuilder, t batchTaskForm) { b.Add(t.task(), 1) })
	if len(f.Equal) > 0 {
		if err = checkEqualTasks(f.Equal); err != nil {
			return r, err
		}
		steps = convertForms(f.Equal, func(b *batch.TaskListBuilder, t equalTasks) { b.Add(t.Task.task(), t.Count) })
	}
	numbers, next := f.occurrences()
	if len(numbers) != len(steps) {
		return r, fmt.Errorf("job %s has %d numbers for the tasks of %d occurrences", f.Submit.ID, len(numbers), len(steps))
	}
	return batch.NewJobSnapshot(f.Submit.submit(), q, batch.JobState(f.Result), fromNanos(f.Ended), f.Started).
		WithTasks(numbers, steps, next).WithCrashes(crashRecords(f.Crashes)), nil
}

// occurrences returns the numbers of the occurrences in Tasks or Equal and that of the first one that has not begun.
// Where Tasks has all occurrences, as always in older snapshots, there are no numbers.
func (f batchJobForm) occurrences() (numbers []int, next int) {
	if f.Sparse {
		return f.Numbers, f.Next
	}
	for k := range max(len(f.Tasks), len(f.Equal)) {
		numbers = append(numbers, k)
	}
	return numbers, len(numbers)
}
