// Package request defines callers' requests and the possible results of an attempt to serve one. The values are
// independent of HTTP and of the format between entry and agent, which packages entry and wire handle.
package request
