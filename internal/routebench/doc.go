// Package routebench simulates requests in virtual time. Endpoint selection, admission queues and retry budgets are
// those of packages route and admission; entry hosts, the network and endpoints are a simple model. Equal seeds give
// equal results.
package routebench
