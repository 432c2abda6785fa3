// Package batch is the replicated state of jobs made of steps: the declaration of queues, services and workspaces, the
// accepted jobs, their tasks, and the runs that were placed on workers.
package batch
