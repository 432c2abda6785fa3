package wire

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"rosemarywind.example/rosemarywind/internal/batch"
)

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
