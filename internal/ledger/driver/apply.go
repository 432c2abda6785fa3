package driver

import (
	"context"
	"fmt"

	"rosemarywind.example/rosemarywind/internal/ledger"
)

// task is a unit of work for the goroutine that owns the application.
//
//sumtype:decl
type task interface{ task() }

// applyTask holds committed entries. On the leader, calls[i] is the call that proposed entries[i], if any.
type applyTask[R any] struct {
	entries []ledger.Entry
	calls   []call[R]
}

type restoreTask struct{ snapshot ledger.Snapshot }

func (applyTask[R]) task() {}
func (restoreTask) task()  {}

// progress reports the highest applied index, and the snapshot at that index if one was due.
type progress struct {
	applied  uint64
	snapshot []byte
}

// apply runs the tasks of the application until ctx is done, and takes a snapshot whenever one is due.
func (l *loop[R]) apply(ctx context.Context, s ledger.Snapshot) (err error) {
	defer annotate(&err, "apply")
	if s.Index() > 0 {
		if err = l.node.applier.Restore(s.Data()); err != nil {
			return fmt.Errorf("restore snapshot %d: %w", s.Index(), err)
		}
	}
	p := progress{applied: s.Index()}
	log := appliedLog{snapshotIndex: s.Index(), snapshotBytes: len(s.Data())}
	for {
		var tasks []task
		select {
		case <-ctx.Done():
			return ctx.Err()
		case tasks = <-l.toApplier:
		}
		for _, t := range tasks {
			switch t := t.(type) {
			case applyTask[R]:
				p.applied = l.applyEntries(t)
				log.add(t.entries)
			case restoreTask:
				if err = l.node.applier.Restore(t.snapshot.Data()); err != nil {
					return fmt.Errorf("restore snapshot %d: %w", t.snapshot.Index(), err)
				}
				p.applied = t.snapshot.Index()
				log = appliedLog{snapshotIndex: p.applied, snapshotBytes: len(t.snapshot.Data())}
			}
		}
		p.snapshot = nil
		if log.snapshotDue(p.applied, l.node.options) {
			if p.snapshot, err = l.node.applier.Snapshot(); err != nil {
				return fmt.Errorf("snapshot at %d: %w", p.applied, err)
			}
			log = appliedLog{snapshotIndex: p.applied, snapshotBytes: len(p.snapshot)}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case l.progress <- p:
		}
	}
}

// appliedLog measures the entries that were applied since the latest snapshot.
type appliedLog struct {
	snapshotIndex uint64
	snapshotBytes int
	bytes         int
}

func (a *appliedLog) add(entries []ledger.Entry) {
	for _, e := range entries {
		a.bytes += len(e.Data())
	}
}

// snapshotDue reports whether the entries up to the applied index are to be replaced by a snapshot.
func (a *appliedLog) snapshotDue(applied uint64, o options) bool {
	return applied-a.snapshotIndex >= o.snapshotThreshold || a.bytes >= max(o.snapshotBytes, a.snapshotBytes)
}

// applyEntries applies entries, completes their calls and returns the last index.
func (l *loop[R]) applyEntries(t applyTask[R]) (last uint64) {
	for i, e := range t.entries {
		var result R
		if e.Kind() == ledger.Data {
			result = l.node.applier.Apply(e.Index(), e.Data())
		}
		if t.calls != nil && t.calls[i].done != nil {
			t.calls[i].done <- response[R]{result: result}
		}
		last = e.Index()
	}
	return last
}
