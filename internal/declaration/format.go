package declaration

import (
	"fmt"

	"github.com/pelletier/go-toml/v2"

	"rosemarywind.example/rosemarywind/internal/workspace"
)

// Format returns the TOML text of a configuration; Parse returns the same configuration for it, at revision 0.
func Format(c *workspace.Config) []byte {
	form := declarationForm{Defaults: map[string]any{}}
	for key, text := range c.Defaults() {
		form.Defaults[key] = rawValue(key, text)
	}
	for _, w := range c.Workspaces() {
		form.Workspace = append(form.Workspace, workspaceFormOf(c, w))
	}
	for _, e := range c.Exceptions() {
		form.Exception = append(form.Exception, exceptionForm{
			Target: e.Target(), Key: e.Key(), Value: rawValue(e.Key(), e.Value()), Reason: e.Reason(),
		})
	}
	data, err := toml.Marshal(form)
	if err != nil {
		// The form holds only strings, integers and tables, which can always be encoded.
		panic(fmt.Sprintf("format declaration: %v", err))
	}
	return data
}

// workspaceFormOf returns the form of a workspace, which leaves out limits equal to those that it would inherit.
func workspaceFormOf(c *workspace.Config, w workspace.Workspace) (f workspaceForm) {
	f = workspaceForm{Name: w.Name(), Tenant: w.Tenant(), TokenDigests: w.TokenDigests()}
	if g := w.Guarantee(); g.Total() > 0 {
		f.Guarantee = &shapeForm{Members: g.Members(), Accelerators: g.Accelerators(), Adjacency: string(g.Adjacency())}
	}
	own, inherited := w.Limits(), inheritedLimits(c.Defaults(), c.Exceptions(), w.Name())
	var limits limitsForm
	if n := own.InFlight(); n != inherited.InFlight() {
		limits.InFlight = &n
	}
	if n := own.Queued(); n != inherited.Queued() {
		limits.Queued = &n
	}
	if limits != (limitsForm{}) {
		f.Limits = &limits
	}
	return f
}

// rawValue returns the TOML value of a default, or the text itself if the key is unknown.
func rawValue(key, text string) any {
	if d, ok := findDefinition(Key(key)); ok {
		return rawOf(d, text)
	}
	return text
}
