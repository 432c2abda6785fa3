// Package leader looks for the leader among the control hosts.
package leader
