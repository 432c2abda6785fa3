// Package task describes the orders that the leader gives to agents about the
// members of gangs, and what agents report about them.
package task
