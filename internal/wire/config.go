package wire

import (
	"rosemarywind.example/rosemarywind/internal/workspace"
)

type shapeForm struct {
	Members      int                 `cbor:"1,keyasint"`
	Accelerators int                 `cbor:"2,keyasint"`
	Adjacency    workspace.Adjacency `cbor:"3,keyasint"`
}

type workspaceForm struct {
	Name      string    `cbor:"1,keyasint"`
	Tenant    string    `cbor:"2,keyasint,omitempty"`
	Guarantee shapeForm `cbor:"3,keyasint"`
	InFlight  int       `cbor:"4,keyasint"`
	Queued    int       `cbor:"5,keyasint"`
	Digests   []string  `cbor:"6,keyasint,omitempty"`
}

type exceptionForm struct {
	Target string `cbor:"1,keyasint"`
	Key    string `cbor:"2,keyasint"`
	Value  string `cbor:"3,keyasint"`
	Reason string `cbor:"4,keyasint"`
}

type configForm struct {
	Revision   uint64            `cbor:"1,keyasint"`
	Workspaces []workspaceForm   `cbor:"2,keyasint,omitempty"`
	Defaults   map[string]string `cbor:"3,keyasint,omitempty"`
	Exceptions []exceptionForm   `cbor:"4,keyasint,omitempty"`
}

func fromShape(s workspace.Shape) shapeForm {
	return shapeForm{Members: s.Members(), Accelerators: s.Accelerators(), Adjacency: s.Adjacency()}
}

func (f shapeForm) shape() (workspace.Shape, error) {
	return workspace.NewShape(f.Members, f.Accelerators, f.Adjacency)
}

// guarantee returns the guaranteed shape, or the zero shape for a workspace without a guarantee.
func (f workspaceForm) guarantee() (workspace.Shape, error) {
	if f.Guarantee == (shapeForm{}) {
		return workspace.Shape{}, nil
	}
	return f.Guarantee.shape()
}

func fromConfig(c *workspace.Config) configForm {
	m := configForm{Revision: c.Revision(), Defaults: c.Defaults()}
	for _, w := range c.Workspaces() {
		m.Workspaces = append(m.Workspaces, fromWorkspace(w))
	}
	m.Exceptions = fromExceptions(c.Exceptions())
	return m
}

func fromWorkspace(w workspace.Workspace) workspaceForm {
	return workspaceForm{
		Name: w.Name(), Tenant: w.Tenant(), Guarantee: fromShape(w.Guarantee()),
		InFlight: w.Limits().InFlight(), Queued: w.Limits().Queued(), Digests: w.TokenDigests(),
	}
}

func (f workspaceForm) workspace() (w workspace.Workspace, err error) {
	s, err := f.guarantee()
	if err != nil {
		return workspace.Workspace{}, err
	}
	return workspace.New(f.Name, f.Tenant, s, workspace.NewLimits(f.InFlight, f.Queued)).
		WithTokenDigests(f.Digests), nil
}

func toWorkspaces(forms []workspaceForm) (list []workspace.Workspace, err error) {
	list = make([]workspace.Workspace, len(forms))
	for i, f := range forms {
		if list[i], err = f.workspace(); err != nil {
			return nil, err
		}
	}
	return list, nil
}

func fromExceptions(list []workspace.Exception) (forms []exceptionForm) {
	for _, e := range list {
		forms = append(forms, exceptionForm{Target: e.Target(), Key: e.Key(), Value: e.Value(), Reason: e.Reason()})
	}
	return forms
}

func toExceptions(forms []exceptionForm) (list []workspace.Exception, err error) {
	list = make([]workspace.Exception, len(forms))
	for i, f := range forms {
		if list[i], err = workspace.NewException(f.Target, f.Key, f.Value, f.Reason); err != nil {
			return nil, err
		}
	}
	return list, nil
}

func (f configForm) config() (c *workspace.Config, err error) {
	workspaces, err := toWorkspaces(f.Workspaces)
	if err != nil {
		return nil, err
	}
	exceptions, err := toExceptions(f.Exceptions)
	if err != nil {
		return nil, err
	}
	if c, err = workspace.NewConfig(workspaces, f.Defaults, exceptions); err != nil {
		return nil, err
	}
	return c.WithRevision(f.Revision), nil
}
