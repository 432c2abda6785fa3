// Package run holds the orders of the leader about runs on workers, and the reports of the agents beside the workers.
package run
