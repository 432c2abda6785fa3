package task

import "rosemarywind.example/rosemarywind/internal/lease"

// Watch says where the members of a gang watch each other; the zero value means that they do not.
type Watch struct {
	hub     string
	members int
}

// NewWatch returns a watch of the given number of members through the agent at the address hub.
func NewWatch(hub string, members int) Watch { return Watch{hub: hub, members: members} }

// Hub returns the address of the agent that hears all members, empty when they are not watched.
func (w Watch) Hub() string { return w.hub }

// Members returns the number of members.
func (w Watch) Members() int { return w.members }

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

// Fence returns the fencing number of the gang's reservation.
func (p Ping) Fence() lease.FencingToken { return p.report.Fence() }

// Verdict is what the hub answers about a gang.
type Verdict string

// The verdicts; Over means that every member succeeded.
const (
	Whole  Verdict = "whole"
	Broken Verdict = "broken"
	Over   Verdict = "over"
)

// Watched is a task of a worker with its watch.
type Watched struct {
	report Report
	watch  Watch
}

// NewWatched returns a task and its watch.
func NewWatched(r Report, w Watch) Watched { return Watched{report: r, watch: w} }

// Report returns the state of the task.
func (w Watched) Report() Report { return w.report }

// Watch returns where the members of its gang watch each other.
func (w Watched) Watch() Watch { return w.watch }
