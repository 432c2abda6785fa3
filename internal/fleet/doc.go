// Package fleet describes the workers and endpoints of the platform and the
// immutable snapshot of them that the request path reads.
package fleet
