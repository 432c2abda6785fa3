// Package intake bounds what a process holds for clients that it does not control: connections, heads of requests and
// bodies.
package intake
