// Package control is the role of a control host: it replicates the ledger and,
// as the leader, keeps the roster of the fleet, plans jobs and drives gangs.
package control
