// Package gang decides what the leader does next with a job that holds
// accelerators: reserve all members, start all, renew, stop all, end.
package gang
