package driver

import (
	"context"
	"fmt"

	"rosemarywind.example/rosemarywind/internal/ledger"
)

// task is work for the goroutine that owns the application.
//
//sumtype:decl
type task interface{ task() }

// applyTask holds committed entries and, on the leader, the calls that wait for them.
type applyTask[R any] struct {
	entries []ledger.Entry
	calls   []call[R]
}

type restoreTask struct{ snapshot ledger.Snapshot }

func (applyTask[R]) task() {}
func (restoreTask) task()  {}

// progress tells how far the application is, with its state if a snapshot was due.
type progress struct {
	applied  uint64
	snapshot []byte
}

// apply owns the application until the context ends.
func (l *loop[R]) apply(ctx context.Context, s ledger.Snapshot) (err error) {
	defer annotate(&err, "apply")
	if s.Index() > 0 {
		if err = l.node.applier.Restore(s.Data()); err != nil {
			return fmt.Errorf("restore snapshot %d: %w", s.Index(), err)
		}
	}
	p, kept := progress{applied: s.Index()}, s.Index()
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
			case restoreTask:
				if err = l.node.applier.Restore(t.snapshot.Data()); err != nil {
					return fmt.Errorf("restore snapshot %d: %w", t.snapshot.Index(), err)
				}
				p.applied, kept = t.snapshot.Index(), t.snapshot.Index()
			}
		}
		p.snapshot = nil
		if p.applied-kept >= l.node.options.threshold {
			if p.snapshot, err = l.node.applier.Snapshot(); err != nil {
				return fmt.Errorf("snapshot at %d: %w", p.applied, err)
			}
			kept = p.applied
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case l.progress <- p:
		}
	}
}

// applyEntries applies entries, answers their calls and returns the last index.
func (l *loop[R]) applyEntries(t applyTask[R]) (last uint64) {
	for i, e := range t.entries {
		var result R
		if e.Kind() == ledger.Data {
			result = l.node.applier.Apply(e.Index(), e.Data())
		}
		if t.calls != nil && t.calls[i].done != nil {
			t.calls[i].done <- answer[R]{result: result}
		}
		last = e.Index()
	}
	return last
}
