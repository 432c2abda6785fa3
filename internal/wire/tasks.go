package wire

import (
	"fmt"

	"rosemarywind.example/rosemarywind/internal/batch"
)

type batchTaskForm struct {
	_          struct{} `cbor:",toarray"`
	Phase      string
	Run        int
	Worker     incarnationForm
	PhaseSince int64
	Failures   int
	FailedRun  int
	Checkpoint string
}

// equalTasks stands for tasks of a step that follow each other and do not differ.
type equalTasks struct {
	_     struct{} `cbor:",toarray"`
	Count int
	Task  batchTaskForm
}

func newBatchTaskForm(t batch.Task) batchTaskForm {
	return batchTaskForm{
		Phase: string(t.Phase()), Run: t.Run(), Worker: newIncarnationForm(t.Worker()), PhaseSince: toNanos(t.PhaseSince()),
		Failures: t.Failures(), FailedRun: t.FailedRun(), Checkpoint: t.Checkpoint(),
	}
}

func (f batchTaskForm) task() batch.Task {
	return batch.RestoreTask(
		batch.Phase(f.Phase), f.Run, f.Worker.incarnation(), fromNanos(f.PhaseSince), f.Failures, f.FailedRun, f.Checkpoint,
	)
}

func newBatchTaskForms(l batch.TaskList) []batchTaskForm {
	forms := make([]batchTaskForm, 0, l.Len())
	for _, t := range l.All() {
		forms = append(forms, newBatchTaskForm(t))
	}
	return forms
}

func newEqualTasks(l batch.TaskList) (forms []equalTasks) {
	var last batch.Task
	for n, t := range l.All() {
		if n > 0 && t == last {
			forms[len(forms)-1].Count++
			continue
		}
		last = t
		forms = append(forms, equalTasks{Count: 1, Task: newBatchTaskForm(t)})
	}
	return forms
}

// countTasks returns the number of tasks in lists by occurrence and step.
func countTasks(occurrences [][]batch.TaskList) (count int) {
	for _, lists := range occurrences {
		for _, l := range lists {
			count += l.Len()
		}
	}
	return count
}

// convertLists converts the tasks of a job, which are indexed by occurrence and step.
func convertLists[F any](from [][]batch.TaskList, convert func(batch.TaskList) []F) [][][]F {
	to := make([][][]F, len(from))
	for k := range from {
		to[k] = make([][]F, len(from[k]))
		for i, l := range from[k] {
			to[k][i] = convert(l)
		}
	}
	return to
}

// convertForms builds the tasks of a job, by occurrence and step, from the forms that add appends to a list.
func convertForms[F any](from [][][]F, add func(*batch.TaskListBuilder, F)) [][]batch.TaskList {
	to := make([][]batch.TaskList, len(from))
	for k := range from {
		to[k] = make([]batch.TaskList, len(from[k]))
		for i := range from[k] {
			var b batch.TaskListBuilder
			for _, f := range from[k][i] {
				add(&b, f)
			}
			to[k][i] = b.Build()
		}
	}
	return to
}

// checkEqualTasks returns an error if a number of tasks cannot be right.
func checkEqualTasks(occurrences [][][]equalTasks) error {
	for _, steps := range occurrences {
		for _, step := range steps {
			left := maxStateElements
			for _, e := range step {
				if left -= e.Count; e.Count < 1 || e.Count > maxStateElements || left < 0 {
					return fmt.Errorf("%d equal tasks in a step", e.Count)
				}
			}
		}
	}
	return nil
}
