// Package agent implements the process that runs beside an endpoint and its worker. It forwards the entries' requests
// to the endpoint, passes the leader's orders to the worker, and reports the states of both to the leader. It makes no
// scheduling decisions.
package agent
