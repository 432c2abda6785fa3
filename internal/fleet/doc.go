// Package fleet describes the workers and endpoints of the platform, and the immutable snapshot of them that requests read
// without locks, with the load and failure counters of each endpoint. Receiving announcements, publishing snapshots and
// choosing endpoints are left to other packages.
package fleet
