// Package task describes the orders that the leader sends to agents about the members of gangs, the agents' replies and
// reports, and the pings by which the members of a gang detect that one is lost. Deciding what to order is left to package
// gang, and transport and encoding to other packages.
package task
