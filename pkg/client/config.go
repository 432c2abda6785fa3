package client

import "encoding/json"

// Config is a revision of the configuration as a control host reported it.
type Config struct{ body ConfigBody }

// Revision returns the revision number, which grows by one with each accepted change.
func (c Config) Revision() uint64 { return c.body.Revision }

// Text returns the configuration as TOML, in the form that Operator.Apply accepts.
func (c Config) Text() string { return c.body.Text }

// MarshalJSON encodes the fields that the control host sent.
func (c Config) MarshalJSON() ([]byte, error) { return json.Marshal(c.body) }
