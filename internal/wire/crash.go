package wire

import (
	"cmp"
	"slices"

	"rosemarywind.example/rosemarywind/internal/batch"
)

type runCrashForm struct {
	_     struct{} `cbor:",toarray"`
	Task  taskForm
	Run   int
	Host  string
	Phase string
}

func newRunCrashForm(c batch.RunCrash) runCrashForm {
	return runCrashForm{Task: newTaskForm(c.Task()), Run: c.Run(), Host: c.Host(), Phase: string(c.Phase())}
}

func (f runCrashForm) crash() batch.RunCrash {
	return batch.NewRunCrash(f.Task.task(), f.Run, f.Host, batch.CrashPhase(f.Phase))
}

// crashRecordForm is a map in place of an array, so that fields can be added.
type crashRecordForm struct {
	Task       taskForm `cbor:"1,keyasint"`
	Run        int      `cbor:"2,keyasint"`
	Crashes    int      `cbor:"3,keyasint"`
	Confirmed  int      `cbor:"4,keyasint,omitempty"`
	Host       string   `cbor:"5,keyasint,omitempty"`
	Checkpoint string   `cbor:"6,keyasint,omitempty"`
}

// newCrashRecordForms returns the forms in the order of the tasks, so that equal states have equal snapshots.
func newCrashRecordForms(records map[batch.TaskID]batch.CrashRecord) (list []crashRecordForm) {
	for id, r := range records {
		list = append(list, crashRecordForm{
			Task: newTaskForm(id), Run: r.Run(), Crashes: r.Crashes(), Confirmed: r.Confirmed(), Host: r.Host(),
			Checkpoint: r.Checkpoint(),
		})
	}
	slices.SortFunc(list, func(a, b crashRecordForm) int {
		return cmp.Or(cmp.Compare(a.Task.Occurrence, b.Task.Occurrence), cmp.Compare(a.Task.Step, b.Task.Step),
			cmp.Compare(a.Task.Index, b.Task.Index))
	})
	return list
}

func crashRecords(list []crashRecordForm) map[batch.TaskID]batch.CrashRecord {
	if len(list) == 0 {
		return nil
	}
	records := make(map[batch.TaskID]batch.CrashRecord, len(list))
	for _, f := range list {
		records[f.Task.task()] = batch.RestoreCrashRecord(f.Run, f.Crashes, f.Confirmed, f.Host, f.Checkpoint)
	}
	return records
}
