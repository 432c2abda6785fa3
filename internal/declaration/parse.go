package declaration

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"rosemarywind.example/rosemarywind/internal/document"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// parser collects the parts of one text; refused parts are left out and reported by the document.
type parser struct {
	*document.Document
	defaults   map[string]string
	exceptions []workspace.Exception
	workspaces []workspace.Workspace
}

// Parse returns the configuration of a TOML text at revision 0; a refusal is a *document.Problems with all problems.
func Parse(file string, data []byte) (c *workspace.Config, err error) {
	d, err := document.Parse(file, data)
	if err != nil {
		return nil, err
	}
	p := &parser{Document: d, defaults: map[string]string{}}
	root := d.Root()
	p.only(root, "defaults", "workspace", "exception")
	if _, ok := root.Value("defaults"); ok {
		if t, ok := root.Table("defaults"); ok {
			p.parseDefaults(t)
		} else {
			d.Refuse("defaults", "must be a table [defaults]")
		}
	}
	p.each(root, "exception", p.parseException)
	p.each(root, "workspace", p.parseWorkspace)
	p.checkTargets(root)
	p.checkDigests(root)
	if err = d.Err(); err != nil {
		return nil, err
	}
	return workspace.NewConfig(p.workspaces, p.defaults, p.exceptions)
}

func (p *parser) each(root document.Table, name string, parse func(document.Table)) {
	if _, ok := root.Value(name); !ok {
		return
	}
	list, ok := root.Tables(name)
	if !ok {
		p.Refuse(name, "must be an array of tables [[%s]]", name)
		return
	}
	for _, t := range list {
		parse(t)
	}
}

// only refuses the keys of a table that are not allowed.
func (p *parser) only(t document.Table, allowed ...string) {
	for _, name := range t.Keys() {
		if !slices.Contains(allowed, name) {
			p.Refuse(t.At(name), "unknown key; allowed keys: %s", strings.Join(allowed, ", "))
		}
	}
}

// value converts a key of a table; a missing key is refused only when it is required.
func (p *parser) value(t document.Table, name string, kind document.Kind, required bool) (value any, ok bool) {
	raw, found := t.Value(name)
	if !found {
		if required {
			p.Refuse(t.At(name), "required; allowed: %s", document.Allowed(kind))
		}
		return nil, false
	}
	value, err := document.Convert(kind, raw)
	if err != nil {
		p.RefuseError(t.At(name), err)
		return nil, false
	}
	return value, true
}

func (p *parser) parseDefaults(t document.Table) {
	for _, name := range t.Keys() {
		d, ok := find(Key(name))
		if !ok {
			p.Refuse(t.At(name), "unknown default; allowed keys: %s", knownKeys())
			continue
		}
		if v, ok := p.value(t, name, d.kind, true); ok {
			p.defaults[name] = textOf(v)
		}
	}
}

func (p *parser) parseException(t document.Table) {
	p.only(t, "target", "key", "value", "reason")
	target, okTarget := p.text(t, "target", document.Text())
	key, okKey := p.text(t, "key", document.Text())
	reason, okReason := p.text(t, "reason", document.Text())
	if okReason && strings.TrimSpace(reason) == "" {
		p.Refuse(t.At("reason"), "an exception needs a reason")
		okReason = false
	}
	d, known := find(Key(key))
	if okKey && !known {
		p.Refuse(t.At("key"), "unknown default %q; allowed: %s", key, knownKeys())
	}
	if !okTarget || !known {
		return
	}
	part, name, _ := strings.Cut(target, "/")
	if _, err := document.Convert(document.Name(), name); err != nil || !slices.Contains(d.targets, part) {
		p.Refuse(t.At("target"), "bad target %q; allowed for %s: %s/NAME", target, key, strings.Join(d.targets, "/NAME, "))
		return
	}
	value, ok := p.value(t, "value", d.kind, true)
	if !ok || !okReason {
		return
	}
	for _, e := range p.exceptions {
		if e.Target() == target && e.Key() == key {
			p.Refuse(t.At("key"), "exception %q is declared twice", target+"."+key)
			return
		}
	}
	e, err := workspace.NewException(target, key, textOf(value), reason)
	if err != nil {
		p.RefuseError(t.Path(), err)
		return
	}
	p.exceptions = append(p.exceptions, e)
}

func (p *parser) text(t document.Table, name string, kind document.Kind) (s string, ok bool) {
	v, ok := p.value(t, name, kind, true)
	if ok {
		s, ok = v.(string)
	}
	return s, ok
}

func (p *parser) parseWorkspace(t document.Table) {
	p.only(t, "name", "tenant", "guarantee", "limits", "token_digests")
	name, okName := p.text(t, "name", document.Name())
	tenant, _ := p.text(t, "tenant", document.Name())
	guarantee := p.parseShape(t)
	limits := p.parseLimits(t, name)
	digests, _ := p.value(t, "token_digests", document.Digests(), false)
	if !okName {
		return
	}
	if slices.ContainsFunc(p.workspaces, func(w workspace.Workspace) bool { return w.Name() == name }) {
		p.Refuse(t.At("name"), "workspace %q is declared twice", name)
		return
	}
	list, _ := digests.([]string)
	p.workspaces = append(p.workspaces, workspace.New(name, tenant, guarantee, limits).WithTokenDigests(slices.Sorted(slices.Values(list))))
}

// parseShape returns the guarantee, or the empty shape of a workspace without one.
func (p *parser) parseShape(t document.Table) (s workspace.Shape) {
	sub, ok := p.table(t, "guarantee", "members", "accelerators", "adjacency")
	if !ok {
		return s
	}
	members, okMembers := p.value(sub, "members", document.Integer(1, mostMembers), true)
	accelerators, okAccelerators := p.value(sub, "accelerators", document.Integer(1, mostAccelerators), true)
	adjacency, okAdjacency := p.text(sub, "adjacency", document.Choice(
		string(workspace.SameWorker), string(workspace.SameRack), string(workspace.SameZone), string(workspace.Anywhere)))
	if !okMembers || !okAccelerators || !okAdjacency {
		return s
	}
	s, err := workspace.NewShape(toInt(members), toInt(accelerators), workspace.Adjacency(adjacency))
	p.RefuseError(sub.Path(), err)
	return s
}

// parseLimits returns the limits; a missing part takes the exception or the default that applies to the workspace.
func (p *parser) parseLimits(t document.Table, name string) workspace.Limits {
	limits := inherited(p.defaults, p.exceptions, name)
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

func (p *parser) table(t document.Table, name string, allowed ...string) (sub document.Table, ok bool) {
	if _, found := t.Value(name); !found {
		return document.Table{}, false
	}
	sub, ok = t.Table(name)
	if !ok {
		p.Refuse(t.At(name), "must be a table; allowed keys: %s", strings.Join(allowed, ", "))
		return document.Table{}, false
	}
	p.only(sub, allowed...)
	return sub, true
}

// checkTargets refuses exceptions for workspaces that the text does not declare.
func (p *parser) checkTargets(root document.Table) {
	list, _ := root.Tables("exception")
	for _, t := range list {
		target, _ := t.Value("target")
		text, _ := target.(string)
		name, ok := strings.CutPrefix(text, workspaceTarget+"/")
		if ok && !slices.ContainsFunc(p.workspaces, func(w workspace.Workspace) bool { return w.Name() == name }) {
			p.Refuse(t.At("target"), "workspace %q is not declared", name)
		}
	}
}

// checkDigests refuses a token of two workspaces, because a token is bound to one.
func (p *parser) checkDigests(root document.Table) {
	list, _ := root.Tables("workspace")
	seen := map[any]bool{}
	for _, t := range list {
		raw, _ := t.Value("token_digests")
		digests, _ := raw.([]any)
		for i, d := range digests {
			if _, ok := d.(string); ok && seen[d] {
				p.Refuse(t.At("token_digests"), "element %d is a digest that is declared twice", i+1)
			}
			if _, ok := d.(string); ok {
				seen[d] = true
			}
		}
	}
}

// The sizes that a guarantee can name: gangs of up to 512 members are designed for.
const (
	mostMembers      = 512
	mostAccelerators = 1024
)

func inherited(defaults map[string]string, exceptions []workspace.Exception, name string) workspace.Limits {
	c, err := workspace.NewConfig(nil, maps.Clone(defaults), exceptions)
	if err != nil {
		c = workspace.EmptyConfig()
	}
	target := fmt.Sprintf("%s/%s", workspaceTarget, name)
	return workspace.NewLimits(Integer(c, target, RequestInFlight), Integer(c, target, RequestQueued))
}

func kindOf(key Key) document.Kind {
	d, _ := find(key)
	return d.kind
}

func toInt(v any) int {
	n, _ := v.(int64)
	return int(n)
}
