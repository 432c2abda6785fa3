package control

import (
	"net/http"
	"strings"

	"rosemarywind.example/rosemarywind/internal/keys"
)

// principal is the authenticated sender of a request to the HTTP interface.
//
//sumtype:decl
type principal interface {
	principal()
}

// operator is a principal with access to everything.
type operator struct{}

// caller is a principal with access to the jobs of one workspace.
type caller struct {
	workspace string
}

func (operator) principal() {}
func (caller) principal()   {}

// identify returns the principal whose bearer token the request carries, and reports whether the token is known.
func (c *Control) identify(r *http.Request) (p principal, ok bool) {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return nil, false
	}
	if keys.Match(token, c.operatorDigests) {
		return operator{}, true
	}
	for _, w := range c.board.state.Load().Config().Workspaces() {
		if keys.Match(token, w.TokenDigests()) {
			return caller{workspace: w.Name()}, true
		}
	}
	return nil, false
}

// canAccess reports whether the principal may read and change the jobs of a workspace.
func canAccess(p principal, workspace string) bool {
	switch t := p.(type) {
	case operator:
		return true
	case caller:
		return t.workspace == workspace
	}
	return false
}

// boundWorkspace returns the workspace that a principal is bound to, empty for an operator.
func boundWorkspace(p principal) string {
	switch t := p.(type) {
	case operator:
		return ""
	case caller:
		return t.workspace
	}
	return ""
}
