package inspection

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// Draft is a configuration of queues, services and workspaces that may be invalid; it is immutable.
type Draft struct {
	version    int64
	queues     []Queue
	services   []batch.Service
	workspaces []batch.Workspace
	limits     Limits
}

// NewDraft returns a draft that keeps the given lists.
func NewDraft(version int64, queues []Queue, services []batch.Service, workspaces []batch.Workspace) Draft {
	return Draft{version: version, queues: queues, services: services, workspaces: workspaces}
}

// WithLimits returns a copy with limits on messages.
func (d Draft) WithLimits(l Limits) Draft {
	d.limits = l
	return d
}

// Queue is a queue together with the values of which batch.Queue keeps at least a minimum.
type Queue struct {
	queue    batch.Queue
	attempts int
	slowdown float64
}

// NewQueue returns a queue with the declared attempts and slowdown, which may be below the minimum of 1.
func NewQueue(q batch.Queue, attempts int, slowdown float64) Queue {
	return Queue{queue: q, attempts: attempts, slowdown: slowdown}
}

// Limits are limits on the messages of callers; 0 means not declared.
type Limits struct {
	headerBytes   int64
	bodyBytes     int64
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

// NewLimits returns limits on the sizes in bytes of a head and a body, and on the times that a head may take and that a
// connection may be idle.
func NewLimits(headerBytes, bodyBytes int64, headerTimeout, idleTimeout time.Duration) Limits {
	return Limits{headerBytes: headerBytes, bodyBytes: bodyBytes, headerTimeout: headerTimeout, idleTimeout: idleTimeout}
}

// Fleet is what is known of the workers; it is immutable.
type Fleet struct {
	accelerators int
	slots        int
	workers      map[string]bool
}

// NewFleet returns a fleet with totals of accelerators and slots, of which 0 means not known, and the names of the
// workers, of which none means not known.
func NewFleet(accelerators, slots int, workers ...string) Fleet {
	f := Fleet{accelerators: accelerators, slots: slots, workers: make(map[string]bool, len(workers))}
	for _, w := range workers {
		f.workers[w] = true
	}
	return f
}

// WithAccelerators returns a copy with another total of accelerators.
func (f Fleet) WithAccelerators(n int) Fleet {
	f.accelerators = n
	return f
}

// queueAt returns the place of the queue at an index.
func (d Draft) queueAt(i int) Entry {
	return Entry{section: QueueSection, index: i, name: d.queues[i].queue.Name()}
}

func (d Draft) serviceAt(i int) Entry {
	return Entry{section: ServiceSection, index: i, name: d.services[i].Name()}
}

func (d Draft) workspaceAt(i int) Entry {
	return Entry{section: WorkspaceSection, index: i, name: d.workspaces[i].Name()}
}
