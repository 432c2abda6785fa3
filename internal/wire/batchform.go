package wire

import (
	"rosemarywind.example/rosemarywind/internal/batch"
)

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
