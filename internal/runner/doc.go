// Package runner implements the agent beside a worker that executes runs under leases. It passes the leader's orders to
// the worker and reports the worker's announcements and its lists of runs to the leader. It makes no scheduling
// decisions; package platform implements the worker's protocol.
package runner
