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

// Board is what the controllers of an entry process publish.
type Board struct {
	fleet   *board.Section[*fleet.Snapshot]  // written by the watcher
	policy  *board.Section[*Policy]          // written by the watcher
	control *board.Section[Control]          // written by the watcher
	elected *board.Section[fleet.Leadership] // written by the observer of elections
}

func newBoard() *Board {
	return &Board{
		fleet:   board.NewSection(fleet.NewSnapshot(0, nil)),
		policy:  board.NewSection(&Policy{config: workspace.EmptyConfig()}),
		control: board.NewSection(Control{}),
		elected: board.NewSection(fleet.Leadership{}),
	}
}

// Fleet returns the section of the endpoints.
func (b *Board) Fleet() *board.Section[*fleet.Snapshot] { return b.fleet }

// Policy returns the section of the configuration.
func (b *Board) Policy() *board.Section[*Policy] { return b.policy }

// Control returns the section of the connection to the leader.
func (b *Board) Control() *board.Section[Control] { return b.control }

// Elected returns the section of the latest leader that any control host named.
func (b *Board) Elected() *board.Section[fleet.Leadership] { return b.elected }

// Control is what the process knows of the leader.
type Control struct {
	leader  string
	heardAt time.Time
}

// Leader returns the address of the leader, empty when it is not known.
func (c Control) Leader() string { return c.leader }

// HeardAt returns when the leader last sent a frame.
func (c Control) HeardAt() time.Time { return c.heardAt }

// Policy is a configuration with the gates of its workspaces.
type Policy struct {
	config  *workspace.Config
	tenures map[string]*tenure
}

// tenure is one workspace with its gate and its budget for retries, which outlive changes of the configuration.
type tenure struct {
	workspace workspace.Workspace
	gate      *admission.Gate
	budget    *route.Budget
	share     int
}

// Config returns the configuration in force.
func (p *Policy) Config() *workspace.Config { return p.config }

// with returns the policy under a new configuration; retryShare counts where none is declared.
func (p *Policy) with(c *workspace.Config, retryShare int) *Policy {
	next := &Policy{config: c, tenures: make(map[string]*tenure, len(c.Workspaces()))}
	for _, w := range c.Workspaces() {
		t := &tenure{workspace: w, share: declaration.RetryShareOf(c, w.Name(), retryShare)}
		if old, ok := p.tenures[w.Name()]; ok {
			t.gate, t.budget = old.gate, old.budget
		} else {
			t.gate = admission.NewGate()
		}
		if old, ok := p.tenures[w.Name()]; !ok || old.share != t.share {
			t.budget = route.NewBudget(t.share)
		}
		next.tenures[w.Name()] = t
	}
	return next
}
