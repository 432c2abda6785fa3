// Package client sends requests of operators to control hosts and requests of
// callers to entry hosts over HTTP, with failover between the hosts.
package client
