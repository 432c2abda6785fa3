package control

import (
	"net/http"
	"strings"

	"rosemarywind.example/rosemarywind/internal/keys"
)

// principal is who sends a request to the operators' interface.
//
//sumtype:decl
type principal interface {
	principal()
}

// operator may see and change everything.
type operator struct{}

// caller may see and change the jobs of one workspace.
type caller struct {
	workspace string
}

func (operator) principal() {}
func (caller) principal()   {}

// identify returns the owner of the request's token.
func (c *Control) identify(h *http.Request) (p principal, ok bool) {
	token, found := strings.CutPrefix(h.Header.Get("Authorization"), "Bearer ")
	if !found {
		return nil, false
	}
	if keys.Match(token, c.digests) {
		return operator{}, true
	}
	for _, w := range c.board.state.Load().Config().Workspaces() {
		if keys.Match(token, w.TokenDigests()) {
			return caller{workspace: w.Name()}, true
		}
	}
	return nil, false
}

// may reports whether the principal may see and change the jobs of a workspace.
func may(p principal, workspace string) bool {
	switch t := p.(type) {
	case operator:
		return true
	case caller:
		return t.workspace == workspace
	}
	return false
}

// scope returns the workspace that a principal is bound to, empty for an operator.
func scope(p principal) string {
	switch t := p.(type) {
	case operator:
		return ""
	case caller:
		return t.workspace
	}
	return ""
}
