package workspace

import (
	"fmt"
	"slices"
	"strings"
)

// Exception replaces one of the fleet's defaults for one target, with the reason that an operator gave.
type Exception struct {
	target string
	key    string
	value  string
	reason string
}

// NewException returns an exception; it fails if target, key, value or the trimmed reason is empty.
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

// Target returns the kind and the name of what the exception applies to, such as "worker/w1" or "workspace/previews".
func (e Exception) Target() string { return e.target }

// Key returns the name of the default that is replaced.
func (e Exception) Key() string { return e.key }

// Value returns the value that replaces the default.
func (e Exception) Value() string { return e.value }

// Reason returns the operator's reason for the exception, which is never empty.
func (e Exception) Reason() string { return e.reason }

// Config is one revision of the declared configuration; it is immutable.
type Config struct {
	revision   uint64
	workspaces []Workspace
	defaults   map[string]string
	exceptions []Exception
}

// NewConfig returns a configuration at revision 0 with sorted workspaces and exceptions; it fails on duplicates.
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

// newConfig returns a configuration that keeps the given sorted lists; it fails on duplicates.
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

// EmptyConfig returns the configuration at revision 0, before the first change.
func EmptyConfig() *Config { return &Config{} }

// WithRevision returns a copy with another revision.
func (c *Config) WithRevision(revision uint64) *Config {
	d := *c
	d.revision = revision
	return &d
}

// Revision returns the revision, which each accepted change increments by one.
func (c *Config) Revision() uint64 { return c.revision }

// Workspaces returns the workspaces sorted by name; the caller must not modify them.
func (c *Config) Workspaces() []Workspace { return c.workspaces }

// Defaults returns the fleet's default values by key; the caller must not modify them.
func (c *Config) Defaults() map[string]string { return c.defaults }

// Exceptions returns the exceptions sorted by target and key; the caller must not modify them.
func (c *Config) Exceptions() []Exception { return c.exceptions }

// Workspace returns the workspace with the given name; ok is false if there is none.
func (c *Config) Workspace(name string) (w Workspace, ok bool) {
	i, ok := search(c.workspaces, name)
	if !ok {
		return Workspace{}, false
	}
	return c.workspaces[i], true
}

// search returns the index in a sorted list of the workspace with the given name, or where it would be inserted.
func search(sorted []Workspace, name string) (i int, ok bool) {
	return slices.BinarySearchFunc(sorted, name, func(w Workspace, n string) int { return strings.Compare(w.name, n) })
}

// Exception returns the value of the exception for target and key; ok is false if there is none.
func (c *Config) Exception(target, key string) (value string, ok bool) {
	for _, e := range c.exceptions {
		if e.target == target && e.key == key {
			return e.value, true
		}
	}
	return "", false
}

// Value returns the value for target and key: that of an exception, or else the fleet's default.
func (c *Config) Value(target, key string) (value string, ok bool) {
	if value, ok = c.Exception(target, key); ok {
		return value, true
	}
	value, ok = c.defaults[key]
	return value, ok
}
