// Package dispatch is what the leader decides about runs: it takes the agents' reports, ends runs, grants leases, and
// begins what the placement chose. It does no input or output.
package dispatch
