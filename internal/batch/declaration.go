package batch

import (
	"fmt"
	"time"
)

// Queue accepts jobs for the workers of a service; it is immutable.
type Queue struct {
	name           string
	host           string
	prefix         string
	service        string
	priority       int
	attempts       int
	slowdown       float64
	targetLatency  time.Duration
	timeout        time.Duration
	public         bool
	requiresAdvice bool
}

// NewQueue returns a queue that callers reach at a host name and path prefix.
// Tasks have one attempt and the slowdown is 1 unless set otherwise.
func NewQueue(name, host, prefix, service string) Queue {
	return Queue{name: name, host: host, prefix: prefix, service: service, attempts: 1, slowdown: 1}
}

// WithPolicy returns a copy with a priority, of which 0 is the highest, and the number of attempts for each task,
// at least 1.
func (q Queue) WithPolicy(priority, attempts int) Queue {
	q.priority, q.attempts = priority, max(attempts, 1)
	return q
}

// WithObjective returns a copy whose jobs should end within slowdown times their run time plus targetLatency.
func (q Queue) WithObjective(slowdown float64, targetLatency, timeout time.Duration) Queue {
	q.slowdown, q.targetLatency, q.timeout = slowdown, targetLatency, timeout
	return q
}

// WithPublic returns a copy that accepts callers without a key, or only callers with one.
func (q Queue) WithPublic(public bool) Queue {
	q.public = public
	return q
}

// WithRequiredAdvice returns a copy whose steps run only on workers that the external advisor approves, or on any.
func (q Queue) WithRequiredAdvice(required bool) Queue {
	q.requiresAdvice = required
	return q
}

// RequiresAdvice reports whether steps run only on workers that the external advisor approves.
func (q Queue) RequiresAdvice() bool { return q.requiresAdvice }

// Name returns the name, which is unique in a declaration.
func (q Queue) Name() string { return q.name }

// Host returns the host name at which callers reach the queue.
func (q Queue) Host() string { return q.host }

// Prefix returns the path prefix at which callers reach the queue.
func (q Queue) Prefix() string { return q.prefix }

// Timeout returns the time after which a caller's request ends.
func (q Queue) Timeout() time.Duration { return q.timeout }

// Service returns the name of the service whose workers run the tasks.
func (q Queue) Service() string { return q.service }

// Priority returns the priority; 0 is the highest.
func (q Queue) Priority() int { return q.priority }

// Attempts returns the number of failed runs after which a job fails, at least 1.
func (q Queue) Attempts() int { return q.attempts }

// Public reports whether the queue accepts calls without a key.
func (q Queue) Public() bool { return q.public }

// Slowdown returns the factor over its run time within which a job should end.
func (q Queue) Slowdown() float64 { return q.slowdown }

// TargetLatency returns the part of the objective that does not depend on the job's run time.
func (q Queue) TargetLatency() time.Duration { return q.targetLatency }

// Objective returns the time within which a job of the given run time should end.
func (q Queue) Objective(runTime time.Duration) time.Duration {
	return time.Duration(q.slowdown*float64(runTime)) + q.targetLatency
}

// Service is a pool of workers; it is immutable.
type Service struct {
	name             string
	enforcesCapacity bool
	standby          bool
}

// NewService returns a service; enforcesCapacity means that its workers refuse runs that exceed their capacity.
func NewService(name string, enforcesCapacity, standby bool) Service {
	return Service{name: name, enforcesCapacity: enforcesCapacity, standby: standby}
}

// Name returns the name, which is unique in a declaration.
func (s Service) Name() string { return s.name }

// EnforcesCapacity reports whether the workers refuse runs that exceed their capacity.
func (s Service) EnforcesCapacity() bool { return s.enforcesCapacity }

// Standby reports whether the machines of the service are switched off.
func (s Service) Standby() bool { return s.standby }

// Workspace is a customer's unit, which owns jobs and has guaranteed accelerators; it is immutable.
type Workspace struct {
	name       string
	keys       []string
	guaranteed int
}

// NewWorkspace returns a workspace with its number of guaranteed accelerators and the keys of its callers.
func NewWorkspace(name string, guaranteed int, keys ...string) Workspace {
	return Workspace{name: name, keys: keys, guaranteed: guaranteed}
}

// Name returns the name, which is unique in a declaration.
func (w Workspace) Name() string { return w.name }

// Keys returns the keys of the workspace's callers; the caller must not modify them.
func (w Workspace) Keys() []string { return w.keys }

// Guaranteed returns the number of accelerators that the workspace's jobs of priority 0 can always get.
func (w Workspace) Guaranteed() int { return w.guaranteed }

// Declaration is the configuration of queues, services and workspaces set by an operator; it is immutable.
type Declaration struct {
	version    int64
	queues     []Queue
	byName     map[string]Queue
	byHost     map[string]*prefixes
	services   map[string]Service
	workspaces map[string]Workspace
	byKey      map[string]string
}

// NewDeclaration returns a declaration. It fails on a version below 1, on missing or duplicate names, on a queue with
// an unknown service, without a timeout, host or path prefix or with the host and prefix of another queue, and on a key
// of two workspaces.
func NewDeclaration(version int64, queues []Queue, services []Service, workspaces []Workspace) (d Declaration, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("declaration %d: %w", version, err)
		}
	}()
	d, problems := declare(version, queues, services, workspaces)
	if len(problems) > 0 {
		return d, problems[0]
	}
	return d, nil
}

// Version returns the version, or 0 before the first declaration.
func (d Declaration) Version() int64 { return d.version }

// Queue returns the queue of the given name and reports whether it is declared.
func (d Declaration) Queue(name string) (q Queue, ok bool) {
	q, ok = d.byName[name]
	return q, ok
}

// QueueAt returns the queue whose prefix is the longest match for path on host, and the path after the prefix.
func (d Declaration) QueueAt(host, path string) (found Queue, rest string, ok bool) {
	found, ok = d.byHost[host].longest(path)
	if !ok {
		return Queue{}, "", false
	}
	return found, path[len(found.prefix):], true
}

// Service returns the service of the given name and reports whether it is declared.
func (d Declaration) Service(name string) (s Service, ok bool) {
	s, ok = d.services[name]
	return s, ok
}

// Workspace returns the workspace of the given name and reports whether it is declared.
func (d Declaration) Workspace(name string) (w Workspace, ok bool) {
	w, ok = d.workspaces[name]
	return w, ok
}

// Guaranteed returns the number of accelerators guaranteed to all workspaces together.
func (d Declaration) Guaranteed() (sum int) {
	for _, w := range d.workspaces {
		sum += w.guaranteed
	}
	return sum
}

// Owner returns the name of the workspace that a key belongs to. An empty key, as of a caller without one, belongs to none,
// whatever is declared.
func (d Declaration) Owner(key string) (workspace string, ok bool) {
	if key == "" {
		return "", false
	}
	workspace, ok = d.byKey[key]
	return workspace, ok
}
