package client

import "encoding/json"

// Config is the configuration in force.
type Config struct{ body ConfigBody }

// Revision returns the number that grows by one with each accepted change.
func (c Config) Revision() uint64 { return c.body.Revision }

// Text returns the configuration as a TOML declaration.
func (c Config) Text() string { return c.body.Text }

// MarshalJSON returns the configuration as the control host sent it.
func (c Config) MarshalJSON() ([]byte, error) { return json.Marshal(c.body) }
