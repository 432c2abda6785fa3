package wire_test

import (
	"bytes"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/call"
	"rosemarywind.example/rosemarywind/internal/run"
	"rosemarywind.example/rosemarywind/internal/wire"
)

var (
	testTime        = time.Unix(1_800_000_000, 5)
	testIncarnation = batch.NewIncarnation("h", "w", 1_800_000_000_123)
	testTask        = batch.NewTaskID("j", 1, 2, 3)
	testEnd         = batch.NewEnd(testTask, 2, batch.Failed, "c")
)

// Guards against a command that differs from the proposed one after it was encoded and decoded.
func TestBatchCommands(t *testing.T) {
	for name, c := range map[string]batch.Command{
		"declare":     batch.NewDeclare([]byte("document")),
		"submit":      batch.NewSubmit("j", "q", "w", []byte("document"), testTime),
		"cancel":      batch.NewCancel("j", testTime),
		"begin":       batch.NewPlaceRuns(testTime, batch.NewGroup(testTask.StepKey(), batch.NewMember(3, 2, testIncarnation))),
		"finish":      batch.NewEndRuns(testTime, testEnd),
		"save":        batch.NewSaveCheckpoints(batch.NewRunCheckpoint(testTask, 2, "c")),
		"crash":       batch.NewRecordCrashes(testTime, batch.NewRunCrash(testTask, 2, "h", batch.CrashedAlone)),
		"forget":      batch.NewPruneJobs(testTime),
		"barrier":     batch.Barrier{},
		"wave":        batch.NewStartWave(batch.NewWave(3, []string{"m1", "m2"}, 1, testTime)),
		"maintenance": batch.NewRecordMaintenance(3, "m1", testIncarnation),
		"skip":        batch.NewSkipMachine(3, "m2"),
		"evacuate":    batch.NewEvacuateZone(batch.NewEvacuation("z", "power cut", testTime)),
		"reopen":      batch.NewReopenZone("z"),
	} {
		t.Run(name, func(t *testing.T) {
			data, err := wire.EncodeBatch(c)
			require.NoError(t, err)
			read, err := wire.DecodeBatch(data)
			require.NoError(t, err)
			assert.Equal(t, c, read)
			_, err = wire.DecodeBatch(data[:len(data)-1])
			assert.Error(t, err)
		})
	}
}

// textDecoder returns the same declaration and job for every document.
type textDecoder struct{}

func (textDecoder) Declaration([]byte) (batch.Declaration, error) {
	q := batch.NewQueue("q", "h", "/q/", "s").WithPolicy(1, 2).WithObjective(2, time.Second, time.Second)
	return batch.NewDeclaration(7, []batch.Queue{q}, []batch.Service{batch.NewService("s", false, false)}, nil)
}

func (textDecoder) Spec(id string, _ []byte) (batch.Spec, error) {
	return batch.NewSpec(id, "payload", batch.NewStep(2, batch.NewResources(1, 2, 3), time.Second))
}

// Guards against a snapshot from which a part of the state is missing.
func TestBatchSnapshot(t *testing.T) {
	s := batch.NewState(textDecoder{})
	first := batch.NewTaskID("j", 0, 0, 0)
	for _, c := range []batch.Command{
		batch.NewDeclare([]byte("document")),
		batch.NewSubmit("j", "q", "w", []byte("job"), testTime),
		batch.NewSubmit("other", "q", "w", []byte("job"), testTime),
		batch.NewCancel("other", testTime),
		batch.NewPlaceRuns(testTime, batch.NewGroup(first, batch.NewMember(0, 1, testIncarnation), batch.NewMember(1, 4, testIncarnation))),
		batch.NewEndRuns(testTime, batch.NewEnd(first, 1, batch.Failed, "c")),
		batch.NewRecordCrashes(testTime, batch.NewRunCrash(first, 1, "h", batch.CrashedAlone), batch.NewRunCrash(batch.NewTaskID("j", 0, 0, 1), 4, "h", batch.CrashedLater)),
		batch.NewStartWave(batch.NewWave(3, []string{"m1", "m2", "m3"}, 1, testTime)),
		batch.NewRecordMaintenance(3, "m1", testIncarnation),
		batch.NewSkipMachine(3, "m2"),
		batch.NewEvacuateZone(batch.NewEvacuation("z", "power cut", testTime)),
		batch.NewEvacuateZone(batch.NewEvacuation("y", "", testTime)),
	} {
		s, _ = s.Apply(c)
	}
	data, err := wire.EncodeBatchState(s)
	require.NoError(t, err)
	read, err := wire.DecodeBatchState(textDecoder{}, data)
	require.NoError(t, err)
	assert.Equal(t, s.Document(), read.Document())
	assert.Equal(t, s.Declaration(), read.Declaration())
	assert.Equal(t, s.Jobs().Len(), read.Jobs().Len())
	assert.Equal(t, s.Waves(), read.Waves())
	assert.Equal(t, s.Evacuations(), read.Evacuations())
	for id, j := range s.Jobs().All() {
		o, known := read.Job(id)
		require.True(t, known)
		assert.Equal(t, j.State(), o.State())
		assert.Equal(t, j.Workspace(), o.Workspace())
		assert.True(t, j.Accepted().Equal(o.Accepted()))
		assert.True(t, j.EndedAt().Equal(o.EndedAt()))
		assert.Equal(t, j.Tasks(0, 0), o.Tasks(0, 0))
		assert.Equal(t, j.HasCrashes(), o.HasCrashes())
		for n := range j.Tasks(0, 0).All() {
			id := batch.NewTaskID(id, 0, 0, n)
			assert.Equal(t, j.Crashes(id), o.Crashes(id))
		}
	}
}

// Guards against orders and reports that differ after they were encoded and decoded.
func TestRuns(t *testing.T) {
	id, order := run.NewID(testTask, 2), run.NewOrderID(9, 4)
	for name, o := range map[string]run.Order{
		"start": run.NewStart(id, testIncarnation, "payload", "c", time.Minute).WithTicket("t").WithOrderID(order),
		"stop":  run.NewStop(id).WithOrderID(order),
		"pace":  run.NewPace(id, 40),
		"hold":  run.NewRenewLease(testIncarnation, time.Minute, 57, true),
		"speed": run.NewRenewLease(testIncarnation, time.Minute, 57, true).WithSpeed(run.NewSpeed(testIncarnation, -0.5, 0.2, 3.25, time.Second)),
	} {
		t.Run(name, func(t *testing.T) {
			var b bytes.Buffer
			e := run.NewEnvelope(9, o)
			require.NoError(t, wire.WriteRunOrder(&b, e))
			read, err := wire.ReadRunOrder(&b)
			require.NoError(t, err)
			assert.Equal(t, e, read)
		})
	}
	t.Run("report", func(t *testing.T) {
		var b bytes.Buffer
		r := run.NewReport("h").WithAnnouncement(run.NewAnnouncement(testIncarnation, "s", "z", 3).WithRack("r", []string{"a", "r"}).
			WithCapacity(batch.NewResources(1, 2, 3)).WithClock(time.Hour).WithMachine("m").WithDraining(time.Second).WithSlowStart(time.Minute)).
			WithList(run.NewList(testIncarnation, 9, time.Hour, []run.Running{run.NewRunning(id, "c", 100, 5)},
				[]run.Finished{run.NewFinished(58, testEnd)}, []run.Settled{run.NewSettled(id, order)}).WithTruncated(true)).
			WithRefused([]run.Refusal{run.NewRefusal(id, order, "late")}).WithTerminating().WithExited().WithUnreachable().
			WithCrashes([]run.Crash{run.NewCrash(testIncarnation, run.NewCrashedRun(id, time.Second))}).
			WithSpeed(run.NewSpeed(testIncarnation, 0.25, 0.05, 7, time.Minute))
		require.NoError(t, wire.WriteRunReport(&b, r))
		read, err := wire.ReadRunReport(&b)
		require.NoError(t, err)
		assert.Equal(t, r, read)
	})
}

// Guards against progress outside 0 to 100 percent, from which durations of 0 would be derived.
func TestProgressOutOfRange(t *testing.T) {
	for name, c := range map[string]struct{ percent, want int }{
		"none":           {0, 0},
		"part":           {41, 41},
		"complete":       {100, 100},
		"below 0":        {-1, 0},
		"far below 0":    {math.MinInt, 0},
		"above complete": {101, 100},
		"huge":           {math.MaxInt, 100},
	} {
		t.Run(name, func(t *testing.T) {
			var b bytes.Buffer
			running := []run.Running{run.NewRunning(run.NewID(testTask, 2), "", c.percent, 5)}
			r := run.NewReport("h").WithList(run.NewList(testIncarnation, 9, time.Hour, running, nil, nil))
			require.NoError(t, wire.WriteRunReport(&b, r))
			read, err := wire.ReadRunReport(&b)
			require.NoError(t, err)
			l, ok := read.List()
			require.True(t, ok)
			assert.Equal(t, []run.Running{run.NewRunning(run.NewID(testTask, 2), "", c.want, 5)}, l.Running())
		})
	}
}

// Guards against calls and replies that differ after they were encoded and decoded.
func TestCalls(t *testing.T) {
	target := call.NewTarget("h", "/q/j", "key")
	for name, c := range map[string]call.Call{
		"submit": call.NewSubmit(target, []byte("job")), "read": call.NewRead(target), "cancel": call.NewCancel(target),
		"declare": call.NewDeclare([]byte("d")), "read declaration": call.ReadDeclaration{}, "ping": call.Ping{},
		"start wave": call.NewStartWave(batch.NewWave(3, []string{"m"}, 1, testTime)), "read wave": call.NewReadWave(3),
		"evacuate": call.NewEvacuate("z", "power cut"), "reopen": call.NewReopen("z"),
	} {
		t.Run(name, func(t *testing.T) {
			var b bytes.Buffer
			require.NoError(t, wire.WriteCall(&b, "trace", c))
			o, err := wire.ReadOpening(&b)
			require.NoError(t, err)
			assert.Equal(t, wire.KindCall, o.Kind())
			assert.Equal(t, "trace", o.Trace())
			read, err := wire.ReadCall(&b)
			require.NoError(t, err)
			assert.Equal(t, c, read)
		})
	}
	t.Run("reply", func(t *testing.T) {
		var b bytes.Buffer
		r := call.NewReply(call.Refused, "full").WithState("queued").WithPending(3).WithRetryAfter(time.Second).
			WithDocument([]byte("d")).WithHosts("a", []string{"a", "b"})
		require.NoError(t, wire.WriteReply(&b, r))
		read, err := wire.ReadReply(&b)
		require.NoError(t, err)
		assert.Equal(t, r, read)
	})
}
