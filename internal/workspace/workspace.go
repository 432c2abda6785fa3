package workspace

import "slices"

// Workspace is a tenant's share of the fleet: a guaranteed shape, and limits on its requests. It is immutable.
type Workspace struct {
	name      string
	tenant    string
	guarantee Shape
	limits    Limits
	digests   []string
}

// New returns a workspace that belongs to tenant and accepts no tokens.
func New(name, tenant string, guarantee Shape, limits Limits) Workspace {
	return Workspace{name: name, tenant: tenant, guarantee: guarantee, limits: limits}
}

// WithTokenDigests returns a copy that accepts the callers' tokens with the given digests, each in the form sha256:HEX.
func (w Workspace) WithTokenDigests(digests []string) Workspace {
	w.digests = slices.Clone(digests)
	return w
}

// Name returns the name, which is unique in a configuration.
func (w Workspace) Name() string { return w.name }

// Tenant returns the customer that owns the workspace.
func (w Workspace) Tenant() string { return w.tenant }

// Guarantee returns the shape that the workspace can reclaim from other workspaces at any time.
func (w Workspace) Guarantee() Shape { return w.guarantee }

// Limits returns the limits that each entry process enforces on the workspace's requests.
func (w Workspace) Limits() Limits { return w.limits }

// TokenDigests returns the digests of the accepted tokens, each in the form sha256:HEX; the caller must not modify them.
func (w Workspace) TokenDigests() []string { return w.digests }

// equal reports whether two workspaces have equal properties, with token digests in the same order.
func (w Workspace) equal(o Workspace) bool {
	return w.name == o.name && w.tenant == o.tenant && w.guarantee == o.guarantee && w.limits == o.limits &&
		slices.Equal(w.digests, o.digests)
}

// Limits limits the requests of one workspace at one entry process.
type Limits struct {
	inFlight int
	queued   int
}

// NewLimits returns limits on the numbers of requests in flight and in the queue.
func NewLimits(inFlight, queued int) Limits {
	return Limits{inFlight: inFlight, queued: queued}
}

// InFlight returns the largest number of requests in flight at the same time.
func (l Limits) InFlight() int { return l.inFlight }

// Queued returns the largest number of requests in the queue.
func (l Limits) Queued() int { return l.queued }
