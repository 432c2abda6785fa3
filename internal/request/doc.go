// Package request describes callers' requests and how an attempt at one ends.
package request
