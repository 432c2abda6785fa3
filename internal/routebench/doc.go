// Package routebench plays requests in virtual time against the real choice of endpoints, admission queues and retry
// budgets; the hosts, the network and the endpoints around them are a small model. Equal seeds give equal results.
package routebench
