package task

import "rosemarywind.example/rosemarywind/internal/lease"

// GangWatch holds the address of the agent that detects from the pings of a gang's members whether one is lost, and
// the size of the gang; the zero value means that no agent does.
type GangWatch struct {
	hub     string
	members int
}

// NewGangWatch returns a watch over the given number of members by the agent at the address hub.
func NewGangWatch(hub string, members int) GangWatch { return GangWatch{hub: hub, members: members} }

// Hub returns the address of the agent that receives the pings, empty if the members send none.
func (w GangWatch) Hub() string { return w.hub }

// Members returns the number of members of the gang, each of which pings the hub.
func (w GangWatch) Members() int { return w.members }

// Ping is the message that the agent of a member sends to the hub each second.
type Ping struct {
	report  Report
	members int
}

// NewPing returns a ping with the state of a member of a gang of the given size.
func NewPing(r Report, members int) Ping { return Ping{report: r, members: members} }

// Report returns the report on the member that sends the ping.
func (p Ping) Report() Report { return p.report }

// Members returns the number of members of the gang, the sender included.
func (p Ping) Members() int { return p.members }

// FencingToken returns the fencing token of the gang's reservation.
func (p Ping) FencingToken() lease.FencingToken { return p.report.FencingToken() }

// Verdict is the hub's reply to a ping: whether the gang is whole, is broken or has succeeded.
type Verdict string

// The verdicts on a gang: Broken means that a member failed, stopped, expired or sends no pings; AllSucceeded that
// every member succeeded; and Whole that neither is the case.
const (
	Whole        Verdict = "whole"
	Broken       Verdict = "broken"
	AllSucceeded Verdict = "over"
)

// WatchedTask is a task on a worker together with the watch over its gang.
type WatchedTask struct {
	report Report
	watch  GangWatch
}

// NewWatchedTask returns the task of a report with the watch over its gang.
func NewWatchedTask(r Report, w GangWatch) WatchedTask { return WatchedTask{report: r, watch: w} }

// Report returns the latest report on the task.
func (w WatchedTask) Report() Report { return w.report }

// Watch returns the watch over the gang of the task, the zero value if there is none.
func (w WatchedTask) Watch() GangWatch { return w.watch }
