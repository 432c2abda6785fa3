// Package intake bounds what a process holds for clients that it does not control: connections, heads of requests and
// bodies. The decisions (Budget, Pace, head costs, choice of connections) run without a network; Listener and Limiter
// apply them to the connections of net/http servers.
package intake
