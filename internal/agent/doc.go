// Package agent is the role of the process beside an endpoint: every request to
// the endpoint and every task of its worker passes through it.
package agent
