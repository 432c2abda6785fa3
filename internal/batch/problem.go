package batch

import (
	"fmt"
	"strings"
)

// Section is the part of a declaration that a Problem is in.
type Section string

// The sections of a declaration.
const (
	VersionSection   Section = "version"
	QueueSection     Section = "queue"
	ServiceSection   Section = "service"
	WorkspaceSection Section = "workspace"
)

// Problem is one reason for which a declaration is refused.
type Problem struct {
	section Section
	index   int
	message string
}

// Section returns the part of the declaration that the problem is in.
func (p Problem) Section() Section { return p.section }

// Index returns the position of the entry in its section, counted from 0.
func (p Problem) Index() int { return p.index }

// Error describes the problem without showing a key.
func (p Problem) Error() string { return p.message }

// Problems returns every reason for which NewDeclaration refuses its arguments; it reports the first of them.
func Problems(version int64, queues []Queue, services []Service, workspaces []Workspace) []Problem {
	_, problems := declare(version, queues, services, workspaces)
	return problems
}

// address is what selects a queue; it is unique in a declaration.
type address struct{ host, prefix string }

// builder collects the valid entries of a declaration and the problems of the others.
type builder struct {
	declaration Declaration
	names       map[string]bool // of queues, valid or not
	byAddress   map[address]string
	problems    []Problem
}

// declare returns the declaration of the valid entries, and the problems of the others.
func declare(version int64, queues []Queue, services []Service, workspaces []Workspace) (Declaration, []Problem) {
	b := builder{
		declaration: Declaration{
			version: version, queues: queues, byName: map[string]Queue{}, byHost: map[string]*prefixes{},
			services: map[string]Service{}, workspaces: map[string]Workspace{}, byKey: map[string]string{},
		},
		names:     map[string]bool{},
		byAddress: map[address]string{},
	}
	if version < 1 {
		b.reportf(VersionSection, 0, "a version is a positive number")
	}
	for i, s := range services {
		b.addService(i, s)
	}
	for i, q := range queues {
		b.addQueue(i, q)
	}
	for i, w := range workspaces {
		b.addWorkspace(i, w)
	}
	return b.declaration, b.problems
}

func (b *builder) reportf(s Section, index int, format string, args ...any) {
	b.problems = append(b.problems, Problem{section: s, index: index, message: fmt.Sprintf(format, args...)})
}

func (b *builder) addService(i int, s Service) {
	if _, known := b.declaration.services[s.name]; known || s.name == "" {
		b.reportf(ServiceSection, i, "service %q is declared twice or has no name", s.name)
		return
	}
	b.declaration.services[s.name] = s
}

func (b *builder) addQueue(i int, q Queue) {
	d := &b.declaration
	_, served := d.services[q.service]
	at := address{host: q.host, prefix: q.prefix}
	other, taken := b.byAddress[at]
	before := len(b.problems)
	if b.names[q.name] || q.name == "" {
		b.reportf(QueueSection, i, "queue %q is declared twice or has no name", q.name)
	}
	if !served {
		b.reportf(QueueSection, i, "queue %q names the unknown service %q", q.name, q.service)
	}
	if q.timeout <= 0 {
		b.reportf(QueueSection, i, "queue %q has no timeout", q.name)
	}
	if q.host == "" || !strings.HasPrefix(q.prefix, "/") {
		b.reportf(QueueSection, i, "queue %q has no host or no path prefix", q.name)
	}
	if taken {
		b.reportf(QueueSection, i, "queues %q and %q share host %s and prefix %s", other, q.name, q.host, q.prefix)
	} else {
		b.byAddress[at] = q.name
	}
	b.names[q.name] = true
	if len(b.problems) > before {
		return
	}
	d.byName[q.name] = q
	if d.byHost[q.host] == nil {
		d.byHost[q.host] = newPrefixes()
	}
	d.byHost[q.host].add(q)
}

func (b *builder) addWorkspace(i int, w Workspace) {
	d := &b.declaration
	if _, known := d.workspaces[w.name]; known || w.name == "" {
		b.reportf(WorkspaceSection, i, "workspace %q is declared twice or has no name", w.name)
		return
	}
	d.workspaces[w.name] = w
	for _, k := range w.keys {
		owner, taken := d.byKey[k]
		if taken && owner != w.name {
			b.reportf(WorkspaceSection, i, "workspaces %q and %q share a key", owner, w.name)
			continue
		}
		d.byKey[k] = w.name
	}
}
