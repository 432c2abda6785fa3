// Package entry implements the entry role: it authenticates and queues callers' HTTP requests, chooses an endpoint for
// each, forwards the request to the agent beside the endpoint and records the outcome of keyed requests in the ledger.
// The limits, the choice of endpoints and the retry budgets are in packages admission and route, the formats of the
// messages in package wire.
package entry
