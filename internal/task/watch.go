package task

import "rosemarywind.example/rosemarywind/internal/lease"

// GangWatch says where the members of a gang watch each other; the zero value means that they do not.
type GangWatch struct {
	hub     string
	members int
}

// NewGangWatch returns a watch of the given number of members through the agent at the address hub.
func NewGangWatch(hub string, members int) GangWatch { return GangWatch{hub: hub, members: members} }

// Hub returns the address of the agent that hears all members, empty when they are not watched.
func (w GangWatch) Hub() string { return w.hub }

// Members returns the number of members.
func (w GangWatch) Members() int { return w.members }

// Ping is what a member's agent tells the hub each second.
type Ping struct {
	report  Report
	members int
}

// NewPing returns a ping with the state of a member of a gang of the given size.
func NewPing(r Report, members int) Ping { return Ping{report: r, members: members} }

// Report returns the state of the member.
func (p Ping) Report() Report { return p.report }

// Members returns the number of members of the gang.
func (p Ping) Members() int { return p.members }

// FencingToken returns the fencing number of the gang's reservation.
func (p Ping) FencingToken() lease.Fence { return p.report.FencingToken() }

// Verdict is what the hub answers about a gang.
type Verdict string

// The verdicts; Over means that every member succeeded.
const (
	Whole        Verdict = "whole"
	Broken       Verdict = "broken"
	AllSucceeded Verdict = "over"
)

// WatchedTask is a task of a worker with its watch.
type WatchedTask struct {
	report Report
	watch  GangWatch
}

// NewWatchedTask returns a task and its watch.
func NewWatchedTask(r Report, w GangWatch) WatchedTask { return WatchedTask{report: r, watch: w} }

// Report returns the state of the task.
func (w WatchedTask) Report() Report { return w.report }

// Watch returns where the members of its gang watch each other.
func (w WatchedTask) Watch() GangWatch { return w.watch }
