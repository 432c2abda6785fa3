// Package entry is the role of an entry host: it admits callers' requests,
// chooses endpoints and forwards to the agents beside them.
package entry
