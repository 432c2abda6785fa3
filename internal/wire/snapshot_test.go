package wire

import (
	"runtime"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// scheduleDecoder decodes each job as one that runs a number of times, once a second.
type scheduleDecoder struct{ occurrences int }

// many is a number of occurrences that a snapshot does not list one by one.
const many = 1000

var scheduleStart = time.Unix(1_800_000_000, 0)

func (scheduleDecoder) Declaration([]byte) (batch.Declaration, error) {
	return batch.NewDeclaration(1, []batch.Queue{
		batch.NewQueue("q", "h", "/q/", "s").WithPolicy(1, 2).WithObjective(2, time.Second, time.Second).WithRequiredAdvice(true),
	}, []batch.Service{batch.NewService("s", false, false)}, nil)
}

func (d scheduleDecoder) Spec(id string, _ []byte) (batch.Spec, error) {
	s, err := batch.NewSpec(id, "", batch.NewStep(2, batch.NewResources(1, 1, 0), time.Second))
	return s.WithSchedule(d.occurrences, scheduleStart, time.Second), err
}

// newScheduledState returns a state with a job of which occurrence 0 is done, 1 has not begun and 2 runs.
func newScheduledState() batch.State { return newScheduledStateOf(many) }

func newScheduledStateOf(occurrences int) batch.State {
	s := batch.NewState(scheduleDecoder{occurrences: occurrences})
	at, worker := scheduleStart, batch.NewIncarnation("h", "w", 1)
	for _, c := range []batch.Command{
		batch.NewDeclare([]byte("d")),
		batch.NewSubmit("j", "q", "", nil, at),
		batch.NewPlaceRuns(at, batch.NewGroup(batch.NewTaskID("j", 0, 0, 0), batch.NewMember(0, 1, worker), batch.NewMember(1, 1, worker))),
		batch.NewEndRuns(at, batch.NewEnd(batch.NewTaskID("j", 0, 0, 0), 1, batch.Done, ""), batch.NewEnd(batch.NewTaskID("j", 0, 0, 1), 1, batch.Done, "")),
		batch.NewPlaceRuns(at, batch.NewGroup(batch.NewTaskID("j", 2, 0, 0), batch.NewMember(1, 3, worker))),
	} {
		s, _ = s.Apply(c)
	}
	return s
}

// assertSameProgress checks that the tasks of a job and the occurrences that may run are the same in two states.
func assertSameProgress(t *testing.T, want, got batch.State) {
	t.Helper()
	a, _ := want.Job("j")
	b, known := got.Job("j")
	require.True(t, known)
	for k := range a.Spec().Occurrences() {
		assert.Equal(t, a.Tasks(k, 0), b.Tasks(k, 0), "occurrence %d", k)
	}
	assert.Equal(t, batch.SnapshotJob(a).Numbers(), batch.SnapshotJob(b).Numbers())
	assert.Equal(t, batch.SnapshotJob(a).Next(), batch.SnapshotJob(b).Next())
}

// wholeStateForm is a batchStateForm with the decoded jobs, as earlier versions have it.
type wholeStateForm struct {
	Document []byte         `cbor:"1,keyasint"`
	Jobs     []batchJobForm `cbor:"2,keyasint"`
	Waves    []waveForm     `cbor:"3,keyasint,omitempty"`
}

func readStateForm(t *testing.T, data []byte) (f wholeStateForm) {
	t.Helper()
	require.NoError(t, cbor.Unmarshal(data, &f))
	return f
}

// Guards against occurrences that are lost or run again after a restart from a snapshot, also one that an earlier
// version has written.
func TestScheduleSnapshot(t *testing.T) {
	s := newScheduledState()
	data, err := EncodeBatchState(s)
	require.NoError(t, err)
	t.Run("of this version", func(t *testing.T) {
		read, err := DecodeBatchState(scheduleDecoder{occurrences: many}, data)
		require.NoError(t, err)
		assertSameProgress(t, s, read)
	})
	f := readStateForm(t, data)
	t.Run("of an earlier version, with all occurrences", func(t *testing.T) {
		older := f
		older.Jobs = []batchJobForm{f.Jobs[0]}
		j, _ := s.Job("j")
		var all [][]batch.TaskList
		for k := range j.Spec().Occurrences() {
			all = append(all, []batch.TaskList{j.Tasks(k, 0)})
		}
		older.Jobs[0].Tasks = convertLists(all, newBatchTaskForms)
		older.Jobs[0].Sparse, older.Jobs[0].Numbers, older.Jobs[0].Next = false, nil, 0
		data, err := cbor.Marshal(older)
		require.NoError(t, err)
		read, err := DecodeBatchState(scheduleDecoder{occurrences: many}, data)
		require.NoError(t, err)
		assertSameProgress(t, s, read)
	})
	t.Run("of few occurrences, in the form of earlier versions", func(t *testing.T) {
		few := newScheduledStateOf(5)
		data, err := EncodeBatchState(few)
		require.NoError(t, err)
		f := readStateForm(t, data)
		assert.False(t, f.Jobs[0].Sparse)
		assert.Len(t, f.Jobs[0].Tasks, 5)
		read, err := DecodeBatchState(scheduleDecoder{occurrences: 5}, data)
		require.NoError(t, err)
		assertSameProgress(t, few, read)
	})
	t.Run("numbers missing", func(t *testing.T) {
		broken := f
		broken.Jobs = []batchJobForm{f.Jobs[0]}
		broken.Jobs[0].Numbers = nil
		data, err := cbor.Marshal(broken)
		require.NoError(t, err)
		_, err = DecodeBatchState(scheduleDecoder{occurrences: many}, data)
		assert.Error(t, err)
	})
}

// largeDecoder decodes each job as one of many tasks that runs a number of times.
type largeDecoder struct{ scheduleDecoder }

const largeTasks = 100_000

func (d largeDecoder) Spec(id string, _ []byte) (batch.Spec, error) {
	s, err := batch.NewSpec(id, "", batch.NewStep(largeTasks, batch.NewResources(1, 1, 0), time.Second))
	return s.WithSchedule(d.occurrences, scheduleStart, time.Second), err
}

// Guards against a snapshot whose size, or the memory that it takes to write and read it, grows with the product of the
// tasks and times of a job.
func TestLargeScheduleSnapshot(t *testing.T) {
	// A control host spends at most 128 MB on everything.
	const maxBytes, maxAllocated = 1 << 20, 32 << 20
	for _, occurrences := range []int{1, 64, 300} {
		t.Run(strconv.Itoa(occurrences), func(t *testing.T) {
			d := largeDecoder{scheduleDecoder{occurrences: occurrences}}
			s, at, worker := batch.NewState(d), scheduleStart, batch.NewIncarnation("h", "w", 1)
			commands := []batch.Command{batch.NewDeclare([]byte("d")), batch.NewSubmit("j", "q", "", nil, at)}
			for k := range min(occurrences, 3) {
				key := batch.NewTaskID("j", k, 0, 0)
				commands = append(commands, batch.NewPlaceRuns(at, batch.NewGroup(key, batch.NewMember(5, 1, worker), batch.NewMember(70_000, 2, worker))),
					batch.NewEndRuns(at, batch.NewEnd(batch.NewTaskID("j", k, 0, 5), 1, batch.Done, "")))
			}
			for _, c := range commands {
				s, _ = s.Apply(c)
			}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			data, err := EncodeBatchState(s)
			require.NoError(t, err)
			read, err := DecodeBatchState(d, data)
			runtime.ReadMemStats(&after)
			require.NoError(t, err)
			assert.Less(t, len(data), maxBytes)
			assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxAllocated))
			a, _ := s.Job("j")
			b, known := read.Job("j")
			require.True(t, known)
			for k := range min(occurrences, 5) {
				assert.Equal(t, a.Tasks(k, 0), b.Tasks(k, 0), "occurrence %d", k)
			}
			assert.Equal(t, batch.SnapshotJob(a).Numbers(), batch.SnapshotJob(b).Numbers())
			assert.Equal(t, batch.SnapshotJob(a).Next(), batch.SnapshotJob(b).Next())
		})
	}
	t.Run("tasks that are not those of the job", func(t *testing.T) {
		d := largeDecoder{scheduleDecoder{occurrences: 1}}
		s := batch.NewState(d)
		s, _ = s.Apply(batch.NewDeclare([]byte("d")))
		s, _ = s.Apply(batch.NewSubmit("j", "q", "", nil, scheduleStart))
		s, _ = s.Apply(batch.NewPlaceRuns(scheduleStart, batch.NewGroup(batch.NewTaskID("j", 0, 0, 0), batch.NewMember(0, 1, batch.Incarnation{}))))
		data, err := EncodeBatchState(s)
		require.NoError(t, err)
		for _, count := range []int{largeTasks - 1, largeTasks + 1, 0, -1, maxStateElements + 1} {
			f := readStateForm(t, data)
			f.Jobs[0].Equal[0][0][0].Count = count
			broken, err := cbor.Marshal(f)
			require.NoError(t, err)
			_, err = DecodeBatchState(d, broken)
			assert.Error(t, err, "%d tasks", count)
		}
	})
}

// Guards against a control host that cannot start again from its own snapshot, because an array in it is longer than the
// codec allows by default.
func TestLongSnapshot(t *testing.T) {
	const long = 150_000 // the default limit is 131,072
	t.Run("many jobs", func(t *testing.T) {
		s := newScheduledState()
		for n := range long {
			s, _ = s.Apply(batch.NewSubmit(strconv.Itoa(n), "q", "", nil, scheduleStart))
		}
		data, err := EncodeBatchState(s)
		require.NoError(t, err)
		read, err := DecodeBatchState(scheduleDecoder{occurrences: many}, data)
		require.NoError(t, err)
		assert.Equal(t, s.Jobs().Len(), read.Jobs().Len())
	})
	t.Run("all occurrences of a long schedule, from an earlier version", func(t *testing.T) {
		d := scheduleDecoder{occurrences: long}
		s := newScheduledState()
		data, err := EncodeBatchState(s)
		require.NoError(t, err)
		f := readStateForm(t, data)
		waiting := batchTaskForm{Phase: string(batch.Waiting)}
		f.Jobs[0].Sparse, f.Jobs[0].Numbers, f.Jobs[0].Next = false, nil, 0
		f.Jobs[0].Tasks = slices.Repeat([][][]batchTaskForm{{{waiting, waiting}}}, long)
		data, err = cbor.Marshal(f)
		require.NoError(t, err)
		read, err := DecodeBatchState(d, data)
		require.NoError(t, err)
		j, known := read.Job("j")
		require.True(t, known)
		assert.Zero(t, batch.SnapshotJob(j).Next())
		assert.True(t, j.HasWaiting())
	})
}

// Guards against a job whose rest never runs after a restart from a snapshot, because its queue has been removed since
// the submission and the snapshot does not say that the queue requires advice.
func TestQueueSnapshot(t *testing.T) {
	s := newScheduledState()
	data, err := EncodeBatchState(s)
	require.NoError(t, err)
	read, err := DecodeBatchState(scheduleDecoder{occurrences: many}, data)
	require.NoError(t, err)
	before, _ := s.Job("j")
	after, _ := read.Job("j")
	require.True(t, before.Queue().RequiresAdvice())
	assert.Equal(t, before.Queue(), after.Queue())
}
