// Package client provides HTTP clients with failover: Operator sends operators' requests to the control hosts, and
// Caller sends callers' requests to the entry hosts. The package also defines the headers and JSON bodies that the
// hosts use; package outcome defines the outcomes and reasons of answers.
package client
