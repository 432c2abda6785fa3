// Package run defines the messages about runs on workers: the orders that the leader gives to agents, and the reports
// that agents, each beside one worker, return. Package wire encodes the messages; other packages send and act on them.
package run
