// Package call holds the calls of callers and operators, which any host passes to the leader, and the replies.
package call
