// Package planbench runs generated lists of job arrivals through the planner in virtual time and measures completion
// times, fragmentation and lost work. It models only the time that jobs, checkpoints and stops take; messages, leases
// other than the loss of a rack, and the control plane are left out.
package planbench
