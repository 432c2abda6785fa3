package declaration

// declarationForm is the TOML encoding of a configuration.
type declarationForm struct {
	Defaults  map[string]any  `toml:"defaults,omitempty"`
	Workspace []workspaceForm `toml:"workspace,omitempty"`
	Exception []exceptionForm `toml:"exception,omitempty"`
}

type workspaceForm struct {
	Name         string      `toml:"name"`
	Tenant       string      `toml:"tenant"`
	Guarantee    *shapeForm  `toml:"guarantee,inline,omitempty"`
	Limits       *limitsForm `toml:"limits,inline,omitempty"`
	TokenDigests []string    `toml:"token_digests,omitempty"`
}

type shapeForm struct {
	Members      int    `toml:"members"`
	Accelerators int    `toml:"accelerators"`
	Adjacency    string `toml:"adjacency"`
}

type limitsForm struct {
	InFlight *int `toml:"in_flight,omitempty"`
	Queued   *int `toml:"queued,omitempty"`
}

type exceptionForm struct {
	Target string `toml:"target"`
	Key    string `toml:"key"`
	Value  any    `toml:"value"`
	Reason string `toml:"reason"`
}
