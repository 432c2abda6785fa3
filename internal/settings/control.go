package settings

import (
	"net/netip"
	"time"
)

// Control holds the settings of the control role.
type Control struct{ Common }

// LoadControl reads the settings of the control role; a refusal is a *document.Problems.
func LoadControl(file string) (c Control, err error) {
	v, err := load(RoleControl, file)
	return Control{Common{v}}, err
}

// Data returns the folder of the ledger's files.
func (c Control) Data() string { return dataKey.of(c.v) }

// Listen returns the QUIC address to listen on.
func (c Control) Listen() netip.AddrPort { return controlListenKey.of(c.v) }

// Members returns the QUIC address of each control host by identity, which the caller must not modify.
func (c Control) Members() map[string]netip.AddrPort { return membersKey.of(c.v) }

// AnnounceLease returns the time after which a silent agent counts as gone.
func (c Control) AnnounceLease() time.Duration { return announceLeaseKey.of(c.v) }

// TaskLease returns the time for which a task runs without a renewal.
func (c Control) TaskLease() time.Duration { return taskLeaseKey.of(c.v) }

// OperatorTokenDigests returns the digests of the operators' tokens.
func (c Control) OperatorTokenDigests() []string { return tokenDigestsKey.of(c.v) }

// CompletionWeight returns the planner's weight of completion time.
func (c Control) CompletionWeight() float64 { return completionKey.of(c.v) }

// FragmentationWeight returns the planner's weight of fragmentation.
func (c Control) FragmentationWeight() float64 { return fragmentationKey.of(c.v) }
