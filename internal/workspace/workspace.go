package workspace

import "slices"

// Workspace is a tenant's share of the fleet: a guaranteed shape and limits for requests.
type Workspace struct {
	name      string
	tenant    string
	guarantee Shape
	limits    Limits
	digests   []string
}

// New returns a workspace that belongs to tenant.
func New(name, tenant string, guarantee Shape, limits Limits) Workspace {
	return Workspace{name: name, tenant: tenant, guarantee: guarantee, limits: limits}
}

// WithTokenDigests returns the workspace with the digests, sha256:HEX, of its callers' tokens.
func (w Workspace) WithTokenDigests(digests []string) Workspace {
	w.digests = slices.Clone(digests)
	return w
}

// Name returns the name that is unique in a configuration.
func (w Workspace) Name() string { return w.name }

// Tenant returns the customer that owns the workspace.
func (w Workspace) Tenant() string { return w.tenant }

// Guarantee returns the shape that can be reclaimed at any time.
func (w Workspace) Guarantee() Shape { return w.guarantee }

// Limits returns the bounds on the workspace's requests.
func (w Workspace) Limits() Limits { return w.limits }

// TokenDigests returns the digests of the callers' tokens, which the caller must not modify.
func (w Workspace) TokenDigests() []string { return w.digests }

// equal reports whether two workspaces agree in everything.
func (w Workspace) equal(o Workspace) bool {
	return w.name == o.name && w.tenant == o.tenant && w.guarantee == o.guarantee && w.limits == o.limits &&
		slices.Equal(w.digests, o.digests)
}

// Limits bounds the requests of one workspace at one entry process.
type Limits struct {
	inFlight int
	queued   int
}

// NewLimits returns limits on requests in flight and requests queued.
func NewLimits(inFlight, queued int) Limits {
	return Limits{inFlight: inFlight, queued: queued}
}

// InFlight returns the number of requests that may run at once.
func (l Limits) InFlight() int { return l.inFlight }

// Queued returns the number of requests that may wait.
func (l Limits) Queued() int { return l.queued }
