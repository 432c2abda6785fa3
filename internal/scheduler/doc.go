// Package scheduler implements the control role for jobs that consist of steps. It replicates the state, answers
// calls and, on the leader, carries out the decisions of package dispatch: it commits them and sends the orders to
// the agents.
package scheduler
