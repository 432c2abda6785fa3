// Package route decides where requests go: it chooses endpoints by load, quarantines endpoints that fail repeatedly and
// bounds retries. It sends nothing; package entry forwards the requests and reports their results.
package route
