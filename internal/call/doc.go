// Package call defines the requests of callers and operators, which any host forwards to the leader, and the replies.
// Package wire encodes them; the leader's scheduler decides how to answer them.
package call
