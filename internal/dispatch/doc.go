// Package dispatch decides about runs on behalf of the leader: it evaluates the agents' reports, ends and stops runs,
// grants leases, and orders the runs that package placement selected. It does no input or output; package scheduler
// commits the results and sends the orders.
package dispatch
