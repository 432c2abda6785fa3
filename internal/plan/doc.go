// Package plan decides which queued jobs run, where they run, and which running jobs release their accelerators.
//
// A Planner turns a View of the fleet and the current time into a list of decisions: it orders the queue, places gangs
// of members with the adjacency that they ask for, sets the guaranteed capacity of each workspace apart and lends it
// while it is idle, reserves and backfills capacity for large jobs, reclaims lent capacity, and quarantines workers
// that fail to start jobs. Carrying the decisions out, storing them and collecting the view are left to the caller.
package plan
