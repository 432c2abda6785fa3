package client

import "encoding/json"

// Applied is the result of an accepted configuration or of a dry run.
type Applied struct{ body ApplyBody }

// Revision returns the revision of the accepted configuration, or the current revision after a dry run.
func (a Applied) Revision() uint64 { return a.body.Revision }

// Changes returns one line of text for each change.
func (a Applied) Changes() []string { return a.body.Changes }

// Repeated reports whether an earlier request with the same id was accepted, so that this one had no effect.
func (a Applied) Repeated() bool { return a.body.Repeated }

// MarshalJSON encodes the fields that the control host sent.
func (a Applied) MarshalJSON() ([]byte, error) { return json.Marshal(a.body) }
