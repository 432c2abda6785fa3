package workspace

import (
	"fmt"
	"slices"
	"strings"
)

// Exception is a departure from the fleet's defaults, with the reason that an operator gave.
type Exception struct {
	target string
	key    string
	value  string
	reason string
}

// NewException returns an exception; it fails when a part or the reason is empty.
func NewException(target, key, value, reason string) (e Exception, err error) {
	e = Exception{target: target, key: key, value: value, reason: strings.TrimSpace(reason)}
	switch "" {
	case e.target, e.key, e.value:
		return Exception{}, fmt.Errorf("exception %q: target, key and value are required", target+"."+key)
	case e.reason:
		return Exception{}, fmt.Errorf("exception %q: a reason is required", target+"."+key)
	default:
		return e, nil
	}
}

// Target returns what the exception applies to, such as "worker/w1" or "workspace/previews".
func (e Exception) Target() string { return e.target }

// Key returns the name of the default that is replaced.
func (e Exception) Key() string { return e.key }

// Value returns the value in place of the default.
func (e Exception) Value() string { return e.value }

// Reason returns why the exception was made.
func (e Exception) Reason() string { return e.reason }

// Config is one revision of the declared configuration; it is immutable.
type Config struct {
	revision   uint64
	workspaces []Workspace
	defaults   map[string]string
	exceptions []Exception
}

// NewConfig returns a configuration with sorted workspaces and exceptions; it fails on duplicates.
func NewConfig(workspaces []Workspace, defaults map[string]string, exceptions []Exception) (c *Config, err error) {
	workspaces = slices.Clone(workspaces)
	slices.SortFunc(workspaces, func(a, b Workspace) int { return strings.Compare(a.name, b.name) })
	return newConfig(workspaces, defaults, sortedExceptions(exceptions))
}

func sortedExceptions(list []Exception) []Exception {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b Exception) int { return strings.Compare(a.target+"."+a.key, b.target+"."+b.key) })
	return list
}

// newConfig keeps the sorted lists that it is given.
func newConfig(workspaces []Workspace, defaults map[string]string, exceptions []Exception) (c *Config, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("configuration: %w", err)
		}
	}()
	c = &Config{workspaces: workspaces, defaults: defaults, exceptions: exceptions}
	for i, w := range c.workspaces {
		if w.name == "" {
			return nil, fmt.Errorf("workspace %d has no name", i+1)
		}
		if i > 0 && c.workspaces[i-1].name == w.name {
			return nil, fmt.Errorf("workspace %q is declared twice", w.name)
		}
	}
	for i, e := range c.exceptions {
		if i > 0 && c.exceptions[i-1].target == e.target && c.exceptions[i-1].key == e.key {
			return nil, fmt.Errorf("exception %q is declared twice", e.target+"."+e.key)
		}
	}
	return c, nil
}

// EmptyConfig returns the configuration of a fleet that nothing was declared for, at revision 0.
func EmptyConfig() *Config { return &Config{} }

// WithRevision returns the configuration under another revision.
func (c *Config) WithRevision(revision uint64) *Config {
	d := *c
	d.revision = revision
	return &d
}

// Revision returns the number that grows by one with each accepted change.
func (c *Config) Revision() uint64 { return c.revision }

// Workspaces returns the workspaces by name, which the caller must not modify.
func (c *Config) Workspaces() []Workspace { return c.workspaces }

// Defaults returns the defaults of the whole fleet, which the caller must not modify.
func (c *Config) Defaults() map[string]string { return c.defaults }

// Exceptions returns the exceptions by target and key, which the caller must not modify.
func (c *Config) Exceptions() []Exception { return c.exceptions }

// Workspace returns the workspace of the given name.
func (c *Config) Workspace(name string) (w Workspace, ok bool) {
	i, ok := position(c.workspaces, name)
	if !ok {
		return Workspace{}, false
	}
	return c.workspaces[i], true
}

// position returns where a sorted list has a workspace of the given name, or would have it.
func position(sorted []Workspace, name string) (i int, ok bool) {
	return slices.BinarySearchFunc(sorted, name, func(w Workspace, n string) int { return strings.Compare(w.name, n) })
}

// Exception returns the exception's value for target and key.
func (c *Config) Exception(target, key string) (value string, ok bool) {
	for _, e := range c.exceptions {
		if e.target == target && e.key == key {
			return e.value, true
		}
	}
	return "", false
}

// Value returns the exception's value for target and key, or the fleet's default.
func (c *Config) Value(target, key string) (value string, ok bool) {
	if value, ok = c.Exception(target, key); ok {
		return value, true
	}
	value, ok = c.defaults[key]
	return value, ok
}
