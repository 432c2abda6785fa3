// Package batch defines the replicated state machine for batch jobs: the declaration of queues, services and
// workspaces, the accepted jobs with their steps and tasks, the runs placed on workers, maintenance waves, and evacuated
// zones. Commands committed to the ledger change the state; other packages decide which commands to propose and how to
// encode them.
package batch
