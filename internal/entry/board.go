package entry

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/admission"
	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/declaration"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/route"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// Board holds the sections that the controllers of an entry process publish and that requests read without locks.
type Board struct {
	fleet      *board.Section[*fleet.Snapshot]  // written by watcher
	policy     *board.Section[*Policy]          // written by watcher
	control    *board.Section[Control]          // written by watcher
	leadership *board.Section[fleet.Leadership] // written by electionWatcher
}

func newBoard() *Board {
	return &Board{
		fleet:      board.NewSection(fleet.NewSnapshot(0, nil)),
		policy:     board.NewSection(&Policy{config: workspace.EmptyConfig()}),
		control:    board.NewSection(Control{}),
		leadership: board.NewSection(fleet.Leadership{}),
	}
}

// Fleet returns the section with the endpoints; its snapshot is empty until the leader has sent a first update.
func (b *Board) Fleet() *board.Section[*fleet.Snapshot] { return b.fleet }

// Policy returns the section with the configuration; its revision is 0 until the leader has sent one.
func (b *Board) Policy() *board.Section[*Policy] { return b.policy }

// Control returns the section with the leader that the process is connected to.
func (b *Board) Control() *board.Section[Control] { return b.control }

// Leadership returns the section with the leader of the highest term that any control host has reported.
func (b *Board) Leadership() *board.Section[fleet.Leadership] { return b.leadership }

// Control is the state of the connection to the leader.
type Control struct {
	leader  string
	heardAt time.Time
}

// Leader returns the address of the leader, or an empty string while the process is not connected to one.
func (c Control) Leader() string { return c.leader }

// HeardAt returns the time of the last update from a leader, zero if none has arrived yet.
func (c Control) HeardAt() time.Time { return c.heardAt }

// Policy is a configuration together with the limiters and retry budgets of its workspaces.
type Policy struct {
	config     *workspace.Config
	workspaces map[string]*workspaceState
}

// workspaceState is a workspace with its limiter and its retry budget. The limiter is kept when the configuration
// changes, and so is the budget unless the workspace's retry share changes.
type workspaceState struct {
	workspace         workspace.Workspace
	limiter           *admission.Limiter
	budget            *route.RetryBudget
	retrySharePercent int
}

// Config returns the configuration, which is never nil.
func (p *Policy) Config() *workspace.Config { return p.config }

// withConfig returns the policy for a new configuration. defaultRetryShare, in percent, applies to workspaces that
// declare no share of their own.
func (p *Policy) withConfig(c *workspace.Config, defaultRetryShare int) *Policy {
	next := &Policy{config: c, workspaces: make(map[string]*workspaceState, len(c.Workspaces()))}
	for _, w := range c.Workspaces() {
		s := &workspaceState{workspace: w, retrySharePercent: declaration.RetryShareOf(c, w.Name(), defaultRetryShare)}
		if old, ok := p.workspaces[w.Name()]; ok {
			s.limiter, s.budget = old.limiter, old.budget
		} else {
			s.limiter = admission.NewLimiter()
		}
		if old, ok := p.workspaces[w.Name()]; !ok || old.retrySharePercent != s.retrySharePercent {
			s.budget = route.NewRetryBudget(s.retrySharePercent)
		}
		next.workspaces[w.Name()] = s
	}
	return next
}
