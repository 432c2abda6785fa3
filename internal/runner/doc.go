// Package runner is the role of an agent beside a worker that runs tasks under leases: it carries out the leader's orders
// and reports what the worker says of itself and lists.
package runner
