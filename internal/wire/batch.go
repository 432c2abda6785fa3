package wire

import (
	"fmt"

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
