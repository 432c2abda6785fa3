// Package route chooses an endpoint for a request and decides on retries.
package route
