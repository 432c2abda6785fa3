package client

import "encoding/json"

// Applied is the answer to an accepted configuration.
type Applied struct{ body ApplyBody }

// Revision returns the revision of the accepted configuration, or the present one after a dry run.
func (a Applied) Revision() uint64 { return a.body.Revision }

// Changes returns the changes, one line each.
func (a Applied) Changes() []string { return a.body.Changes }

// Repeated reports whether the answer is the one to an earlier request with the same id.
func (a Applied) Repeated() bool { return a.body.Repeated }

// MarshalJSON returns the answer as the control host sent it.
func (a Applied) MarshalJSON() ([]byte, error) { return json.Marshal(a.body) }
