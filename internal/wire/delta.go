package wire

import "rosemarywind.example/rosemarywind/internal/workspace"

type deltaForm struct {
	Base       uint64            `cbor:"1,keyasint,omitempty"`
	Revision   uint64            `cbor:"2,keyasint"`
	Changed    []workspaceForm   `cbor:"3,keyasint,omitempty"`
	Removed    []string          `cbor:"4,keyasint,omitempty"`
	Defaults   map[string]string `cbor:"5,keyasint,omitempty"`
	Exceptions []exceptionForm   `cbor:"6,keyasint,omitempty"`
	Rest       bool              `cbor:"7,keyasint,omitempty"`
}

func fromDelta(d workspace.Delta) deltaForm {
	f := deltaForm{Base: d.Base(), Revision: d.Revision(), Removed: d.Removed()}
	for _, w := range d.Changed() {
		f.Changed = append(f.Changed, fromWorkspace(w))
	}
	if defaults, exceptions, ok := d.Settings(); ok {
		f.Defaults, f.Exceptions, f.Rest = defaults, fromExceptions(exceptions), true
	}
	return f
}

func (f deltaForm) delta() (d workspace.Delta, err error) {
	changed, err := toWorkspaces(f.Changed)
	if err != nil {
		return workspace.Delta{}, err
	}
	d = workspace.NewDelta(f.Base, f.Revision, changed, f.Removed)
	if !f.Rest {
		return d, nil
	}
	exceptions, err := toExceptions(f.Exceptions)
	if err != nil {
		return workspace.Delta{}, err
	}
	return d.WithSettings(f.Defaults, exceptions), nil
}
