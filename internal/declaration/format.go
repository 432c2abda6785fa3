package declaration

import (
	"fmt"

	"github.com/pelletier/go-toml/v2"

	"rosemarywind.example/rosemarywind/internal/workspace"
)

// Format returns the TOML text of a configuration, which Parse reads back as the same configuration.
func Format(c *workspace.Config) []byte {
	form := textForm{Defaults: map[string]any{}}
	for key, text := range c.Defaults() {
		form.Defaults[key] = formValue(key, text)
	}
	for _, w := range c.Workspaces() {
		form.Workspace = append(form.Workspace, formWorkspace(c, w))
	}
	for _, e := range c.Exceptions() {
		form.Exception = append(form.Exception, exceptionForm{
			Target: e.Target(), Key: e.Key(), Value: formValue(e.Key(), e.Value()), Reason: e.Reason(),
		})
	}
	data, err := toml.Marshal(form)
	if err != nil {
		// The form holds only strings, integers and tables, which always have a TOML text.
		panic(fmt.Sprintf("format declaration: %v", err))
	}
	return data
}

func formWorkspace(c *workspace.Config, w workspace.Workspace) (f workspaceForm) {
	f = workspaceForm{Name: w.Name(), Tenant: w.Tenant(), TokenDigests: w.TokenDigests()}
	if g := w.Guarantee(); g.Total() > 0 {
		f.Guarantee = &shapeForm{Members: g.Members(), Accelerators: g.Accelerators(), Adjacency: string(g.Adjacency())}
	}
	own, base := w.Limits(), inherited(c.Defaults(), c.Exceptions(), w.Name())
	var limits limitsForm
	if n := own.InFlight(); n != base.InFlight() {
		limits.InFlight = &n
	}
	if n := own.Queued(); n != base.Queued() {
		limits.Queued = &n
	}
	if limits != (limitsForm{}) {
		f.Limits = &limits
	}
	return f
}

func formValue(key, text string) any {
	if d, ok := find(Key(key)); ok {
		return rawOf(d, text)
	}
	return text
}
