package batch

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Queue takes jobs for the workers of a service; it is immutable.
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

// NewQueue returns a queue that callers reach at a host and path prefix.
func NewQueue(name, host, prefix, service string) Queue {
	return Queue{name: name, host: host, prefix: prefix, service: service, attempts: 1, slowdown: 1}
}

// WithPolicy returns the queue with its priority, 0 first, and the attempts that each task has.
func (q Queue) WithPolicy(priority, attempts int) Queue {
	q.priority, q.attempts = priority, max(attempts, 1)
	return q
}

// WithObjective returns the queue whose jobs should end within stretch times their length and aim more.
func (q Queue) WithObjective(stretch float64, aim, timeout time.Duration) Queue {
	q.slowdown, q.targetLatency, q.timeout = stretch, aim, timeout
	return q
}

// WithPublic returns the queue for callers with or without a key.
func (q Queue) WithPublic(open bool) Queue {
	q.public = open
	return q
}

// WithRequiredAdvice returns the queue whose steps run only on workers that the advisor approves.
func (q Queue) WithRequiredAdvice(needed bool) Queue {
	q.requiresAdvice = needed
	return q
}

// RequiresAdvice reports whether steps run only on workers that the advisor approves.
func (q Queue) RequiresAdvice() bool { return q.requiresAdvice }

// Name returns the queue's name.
func (q Queue) Name() string { return q.name }

// Service returns the service whose workers run the tasks.
func (q Queue) Service() string { return q.service }

// Priority returns the priority; 0 comes first.
func (q Queue) Priority() int { return q.priority }

// Attempts returns how many failed runs a task may have.
func (q Queue) Attempts() int { return q.attempts }

// Public reports whether calls need no key.
func (q Queue) Public() bool { return q.public }

// Slowdown returns how many times its length a job may take.
func (q Queue) Slowdown() float64 { return q.slowdown }

// TargetLatency returns what a job may take beyond its stretched length.
func (q Queue) TargetLatency() time.Duration { return q.targetLatency }

// Objective returns how long a job of the given length may take.
func (q Queue) Objective(length time.Duration) time.Duration {
	return time.Duration(q.slowdown*float64(length)) + q.targetLatency
}

// Service is a pool of workers; it is immutable.
type Service struct {
	name             string
	enforcesCapacity bool
	standby          bool
}

// NewService returns a service; guarded means that its workers refuse what does not fit.
func NewService(name string, guarded, standby bool) Service {
	return Service{name: name, enforcesCapacity: guarded, standby: standby}
}

// EnforcesCapacity reports whether the workers refuse what does not fit.
func (s Service) EnforcesCapacity() bool { return s.enforcesCapacity }

// Standby reports whether the machines of the service are off.
func (s Service) Standby() bool { return s.standby }

// Workspace owns jobs and has a guarantee; it is immutable.
type Workspace struct {
	name       string
	keys       []string
	guaranteed int
}

// NewWorkspace returns a workspace with the keys of its callers and its guaranteed accelerators.
func NewWorkspace(name string, guaranteed int, keys ...string) Workspace {
	return Workspace{name: name, keys: keys, guaranteed: guaranteed}
}

// Name returns the workspace's name.
func (w Workspace) Name() string { return w.name }

// Guaranteed returns the accelerators that jobs of priority 0 can always have.
func (w Workspace) Guaranteed() int { return w.guaranteed }

// Declaration is what an operator put in force; it is immutable.
type Declaration struct {
	version    int64
	queues     []Queue
	byName     map[string]Queue
	byHost     map[string][]Queue
	services   map[string]Service
	workspaces map[string]Workspace
	byKey      map[string]string
}

// NewDeclaration returns a declaration; it fails on a queue with an unknown service, without a timeout or at the place
// of another one, and on a key of two workspaces.
func NewDeclaration(version int64, queues []Queue, services []Service, workspaces []Workspace) (d Declaration, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("declaration %d: %w", version, err)
		}
	}()
	d = Declaration{
		version: version, queues: queues, byName: map[string]Queue{}, byHost: map[string][]Queue{},
		services: map[string]Service{}, workspaces: map[string]Workspace{}, byKey: map[string]string{},
	}
	if version < 1 {
		return d, errors.New("a version is a positive number")
	}
	for _, s := range services {
		if _, known := d.services[s.name]; known || s.name == "" {
			return d, fmt.Errorf("service %q is declared twice or has no name", s.name)
		}
		d.services[s.name] = s
	}
	for _, q := range queues {
		if err = d.addQueue(q); err != nil {
			return d, err
		}
	}
	for _, w := range workspaces {
		if err = d.addWorkspace(w); err != nil {
			return d, err
		}
	}
	return d, nil
}

func (d *Declaration) addQueue(q Queue) error {
	_, known := d.byName[q.name]
	_, served := d.services[q.service]
	switch {
	case known || q.name == "":
		return fmt.Errorf("queue %q is declared twice or has no name", q.name)
	case !served:
		return fmt.Errorf("queue %q names the unknown service %q", q.name, q.service)
	case q.timeout <= 0:
		return fmt.Errorf("queue %q has no timeout", q.name)
	case q.host == "" || !strings.HasPrefix(q.prefix, "/"):
		return fmt.Errorf("queue %q has no host or no path prefix", q.name)
	}
	for _, o := range d.byHost[q.host] {
		if o.prefix == q.prefix {
			return fmt.Errorf("queues %q and %q share host %s and prefix %s", o.name, q.name, q.host, q.prefix)
		}
	}
	d.byName[q.name] = q
	d.byHost[q.host] = append(d.byHost[q.host], q)
	return nil
}

func (d *Declaration) addWorkspace(w Workspace) error {
	if _, known := d.workspaces[w.name]; known || w.name == "" {
		return fmt.Errorf("workspace %q is declared twice or has no name", w.name)
	}
	d.workspaces[w.name] = w
	for _, k := range w.keys {
		if owner, taken := d.byKey[k]; taken && owner != w.name {
			return fmt.Errorf("workspaces %q and %q share a key", owner, w.name)
		}
		d.byKey[k] = w.name
	}
	return nil
}

// Version returns the version; 0 means that nothing was declared yet.
func (d Declaration) Version() int64 { return d.version }

// Queue returns the queue of the given name.
func (d Declaration) Queue(name string) (q Queue, ok bool) {
	q, ok = d.byName[name]
	return q, ok
}

// QueueAt returns the queue with the longest prefix of path at host, and the rest of the path.
func (d Declaration) QueueAt(host, path string) (found Queue, rest string, ok bool) {
	for _, q := range d.byHost[host] {
		if strings.HasPrefix(path, q.prefix) && (!ok || len(q.prefix) > len(found.prefix)) {
			found, rest, ok = q, path[len(q.prefix):], true
		}
	}
	return found, rest, ok
}

// Service returns the service of the given name.
func (d Declaration) Service(name string) (s Service, ok bool) {
	s, ok = d.services[name]
	return s, ok
}

// Workspace returns the workspace of the given name.
func (d Declaration) Workspace(name string) (w Workspace, ok bool) {
	w, ok = d.workspaces[name]
	return w, ok
}

// Guaranteed returns the accelerators that are guaranteed to all workspaces together.
func (d Declaration) Guaranteed() (sum int) {
	for _, w := range d.workspaces {
		sum += w.guaranteed
	}
	return sum
}

// Owner returns the name of the workspace that holds a key.
func (d Declaration) Owner(key string) (workspace string, ok bool) {
	workspace, ok = d.byKey[key]
	return workspace, ok
}
