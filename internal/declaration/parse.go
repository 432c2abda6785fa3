package declaration

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"rosemarywind.example/rosemarywind/internal/document"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// parser collects the valid parts of one text; the embedded document collects the problems of the others.
type parser struct {
	*document.Document
	defaults   map[string]string
	exceptions []workspace.Exception
	workspaces []workspace.Workspace
}

// Parse returns the configuration of a TOML text at revision 0; an invalid text gives a *document.Problems error that
// lists all problems. The file name appears only in errors.
func Parse(file string, data []byte) (c *workspace.Config, err error) {
	d, err := document.Parse(file, data)
	if err != nil {
		return nil, err
	}
	p := &parser{Document: d, defaults: map[string]string{}}
	root := d.Root()
	p.checkKeys(root, "defaults", "workspace", "exception")
	if _, ok := root.Value("defaults"); ok {
		if t, ok := root.Table("defaults"); ok {
			p.parseDefaults(t)
		} else {
			d.Reportf("defaults", "must be a table [defaults]")
		}
	}
	p.eachTable(root, "exception", p.parseException)
	p.eachTable(root, "workspace", p.parseWorkspace)
	p.checkTargets(root)
	p.checkDigests(root)
	if err = d.Err(); err != nil {
		return nil, err
	}
	return workspace.NewConfig(p.workspaces, p.defaults, p.exceptions)
}

// eachTable calls parse for each table of an array of tables, which may be missing.
func (p *parser) eachTable(root document.Table, name string, parse func(document.Table)) {
	if _, ok := root.Value(name); !ok {
		return
	}
	list, ok := root.Tables(name)
	if !ok {
		p.Reportf(name, "must be an array of tables [[%s]]", name)
		return
	}
	for _, t := range list {
		parse(t)
	}
}

// checkKeys reports the keys of a table that are not allowed.
func (p *parser) checkKeys(t document.Table, allowed ...string) {
	for _, name := range t.Keys() {
		if !slices.Contains(allowed, name) {
			p.Reportf(t.PathOf(name), "unknown key; allowed keys: %s", strings.Join(allowed, ", "))
		}
	}
}

// value returns the converted value of a key of a table; a missing key is reported only if it is required.
func (p *parser) value(t document.Table, name string, kind document.Kind, required bool) (value any, ok bool) {
	raw, found := t.Value(name)
	if !found {
		if required {
			p.Reportf(t.PathOf(name), "required; allowed: %s", document.Allowed(kind))
		}
		return nil, false
	}
	value, err := document.Convert(kind, raw)
	if err != nil {
		p.ReportError(t.PathOf(name), err)
		return nil, false
	}
	return value, true
}

func (p *parser) parseDefaults(t document.Table) {
	for _, name := range t.Keys() {
		d, ok := findDefinition(Key(name))
		if !ok {
			p.Reportf(t.PathOf(name), "unknown default; allowed keys: %s", knownKeys())
			continue
		}
		if v, ok := p.value(t, name, d.kind, true); ok {
			p.defaults[name] = textOf(v)
		}
	}
}

func (p *parser) parseException(t document.Table) {
	p.checkKeys(t, "target", "key", "value", "reason")
	target, okTarget := p.text(t, "target", document.Text())
	key, okKey := p.text(t, "key", document.Text())
	reason, okReason := p.text(t, "reason", document.Text())
	if okReason && strings.TrimSpace(reason) == "" {
		p.Reportf(t.PathOf("reason"), "an exception needs a reason")
		okReason = false
	}
	d, known := findDefinition(Key(key))
	if okKey && !known {
		p.Reportf(t.PathOf("key"), "unknown default %q; allowed: %s", key, knownKeys())
	}
	if !okTarget || !known {
		return
	}
	part, name, _ := strings.Cut(target, "/")
	if _, err := document.Convert(document.Name(), name); err != nil || !slices.Contains(d.targets, part) {
		p.Reportf(t.PathOf("target"), "bad target %q; allowed for %s: %s/NAME", target, key, strings.Join(d.targets, "/NAME, "))
		return
	}
	value, ok := p.value(t, "value", d.kind, true)
	if !ok || !okReason {
		return
	}
	for _, e := range p.exceptions {
		if e.Target() == target && e.Key() == key {
			p.Reportf(t.PathOf("key"), "exception %q is declared twice", target+"."+key)
			return
		}
	}
	e, err := workspace.NewException(target, key, textOf(value), reason)
	if err != nil {
		p.ReportError(t.Path(), err)
		return
	}
	p.exceptions = append(p.exceptions, e)
}

// text returns a required key whose kind is converted to a string.
func (p *parser) text(t document.Table, name string, kind document.Kind) (s string, ok bool) {
	v, ok := p.value(t, name, kind, true)
	if ok {
		s, ok = v.(string)
	}
	return s, ok
}

func (p *parser) parseWorkspace(t document.Table) {
	p.checkKeys(t, "name", "tenant", "guarantee", "limits", "token_digests")
	name, okName := p.text(t, "name", document.Name())
	tenant, _ := p.text(t, "tenant", document.Name())
	guarantee := p.parseShape(t)
	limits := p.parseLimits(t, name)
	digests, _ := p.value(t, "token_digests", document.Digests(), false)
	if !okName {
		return
	}
	if slices.ContainsFunc(p.workspaces, func(w workspace.Workspace) bool { return w.Name() == name }) {
		p.Reportf(t.PathOf("name"), "workspace %q is declared twice", name)
		return
	}
	list, _ := digests.([]string)
	p.workspaces = append(p.workspaces, workspace.New(name, tenant, guarantee, limits).WithTokenDigests(slices.Sorted(slices.Values(list))))
}

// parseShape returns the guaranteed shape of a workspace, or the empty shape if it has none.
func (p *parser) parseShape(t document.Table) (s workspace.Shape) {
	sub, ok := p.table(t, "guarantee", "members", "accelerators", "adjacency")
	if !ok {
		return s
	}
	members, okMembers := p.value(sub, "members", document.Integer(1, maxMembers), true)
	accelerators, okAccelerators := p.value(sub, "accelerators", document.Integer(1, maxAccelerators), true)
	adjacency, okAdjacency := p.text(sub, "adjacency", document.Choice(
		string(workspace.SameWorker), string(workspace.SameRack), string(workspace.SameZone), string(workspace.Anywhere)))
	if !okMembers || !okAccelerators || !okAdjacency {
		return s
	}
	s, err := workspace.NewShape(toInt(members), toInt(accelerators), workspace.Adjacency(adjacency))
	p.ReportError(sub.Path(), err)
	return s
}

// parseLimits returns the limits of a workspace; a limit that is left out is taken from the exception or the default
// that applies.
func (p *parser) parseLimits(t document.Table, name string) workspace.Limits {
	limits := inheritedLimits(p.defaults, p.exceptions, name)
	inFlight, queued := limits.InFlight(), limits.Queued()
	if sub, ok := p.table(t, "limits", "in_flight", "queued"); ok {
		if v, ok := p.value(sub, "in_flight", kindOf(RequestInFlight), false); ok {
			inFlight = toInt(v)
		}
		if v, ok := p.value(sub, "queued", kindOf(RequestQueued), false); ok {
			queued = toInt(v)
		}
	}
	return workspace.NewLimits(inFlight, queued)
}

// table returns an optional table below t and reports its unknown keys.
func (p *parser) table(t document.Table, name string, allowed ...string) (sub document.Table, ok bool) {
	if _, found := t.Value(name); !found {
		return document.Table{}, false
	}
	sub, ok = t.Table(name)
	if !ok {
		p.Reportf(t.PathOf(name), "must be a table; allowed keys: %s", strings.Join(allowed, ", "))
		return document.Table{}, false
	}
	p.checkKeys(sub, allowed...)
	return sub, true
}

// checkTargets reports exceptions for workspaces that the text does not declare.
func (p *parser) checkTargets(root document.Table) {
	list, _ := root.Tables("exception")
	for _, t := range list {
		target, _ := t.Value("target")
		text, _ := target.(string)
		name, ok := strings.CutPrefix(text, workspaceTarget+"/")
		if ok && !slices.ContainsFunc(p.workspaces, func(w workspace.Workspace) bool { return w.Name() == name }) {
			p.Reportf(t.PathOf("target"), "workspace %q is not declared", name)
		}
	}
}

// checkDigests reports a token digest that is declared twice, because a token authenticates one workspace.
func (p *parser) checkDigests(root document.Table) {
	list, _ := root.Tables("workspace")
	seen := map[any]bool{}
	for _, t := range list {
		raw, _ := t.Value("token_digests")
		digests, _ := raw.([]any)
		for i, d := range digests {
			if _, ok := d.(string); ok && seen[d] {
				p.Reportf(t.PathOf("token_digests"), "element %d is a digest that is declared twice", i+1)
			}
			if _, ok := d.(string); ok {
				seen[d] = true
			}
		}
	}
}

// Upper limits of a guaranteed shape; the system is designed for gangs of up to 512 members.
const (
	maxMembers      = 512
	maxAccelerators = 1024
)

// inheritedLimits returns the limits of a workspace that declares none: those of its exceptions, the defaults or the
// built-in values.
func inheritedLimits(defaults map[string]string, exceptions []workspace.Exception, name string) workspace.Limits {
	c, err := workspace.NewConfig(nil, maps.Clone(defaults), exceptions)
	if err != nil {
		c = workspace.EmptyConfig()
	}
	target := fmt.Sprintf("%s/%s", workspaceTarget, name)
	return workspace.NewLimits(Integer(c, target, RequestInFlight), Integer(c, target, RequestQueued))
}

func kindOf(key Key) document.Kind {
	d, _ := findDefinition(key)
	return d.kind
}

func toInt(v any) int {
	n, _ := v.(int64)
	return int(n)
}
