// Package gang decides what the leader does next with a placed job: reserve all members, start them, renew their leases,
// throttle or stop them all, and end the job or queue it again. It also decides, on the agents' side, when a gang has lost
// a member and the others must stop. Sending orders and pings, and committing the actions, are left to the caller.
package gang
