package settings

import (
	"net/netip"
	"time"
)

// Control holds the settings of the control role.
type Control struct{ Common }

// LoadControl reads the settings of the control role; an invalid file gives a *document.Problems error.
func LoadControl(file string) (c Control, err error) {
	v, err := load(RoleControl, file)
	return Control{Common{v}}, err
}

// Data returns the path of the folder that holds the ledger's files.
func (c Control) Data() string { return dataKey.get(c.v) }

// Listen returns the QUIC address to listen on.
func (c Control) Listen() netip.AddrPort { return controlListenKey.get(c.v) }

// Members returns the QUIC address of each control host by name; the caller must not modify the map.
func (c Control) Members() map[string]netip.AddrPort { return membersKey.get(c.v) }

// AnnounceLease returns the time after which an agent is lost unless it renews its announcement.
func (c Control) AnnounceLease() time.Duration { return announceLeaseKey.get(c.v) }

// TaskLease returns the duration of a task lease, the time for which a task runs without a renewal.
func (c Control) TaskLease() time.Duration { return taskLeaseKey.get(c.v) }

// BufferedBytes returns the maximum total size of the buffered request bodies of one address in bytes.
func (c Control) BufferedBytes() int64 { return operatorBufferedKey.get(c.v) }

// Connections returns the number of operators' connections that are open at once.
func (c Control) Connections() int { return int(operatorConnectionsKey.get(c.v)) }

// BodyRate returns the least rate at which a body has to arrive, in bytes per second.
func (c Control) BodyRate() int64 { return bodyRateKey.get(c.v) }

// OperatorTokenDigests returns the digests of the bearer tokens that operators may use; if empty, all operators are
// refused.
func (c Control) OperatorTokenDigests() []string { return tokenDigestsKey.get(c.v) }

// CompletionWeight returns the weight of completion time in the score of a placement, from 0 to 100.
func (c Control) CompletionWeight() float64 { return completionWeightKey.get(c.v) }

// FragmentationWeight returns the weight of fragmentation in the score of a placement, from 0 to 100; divided by the
// completion weight it is the minutes that a small patient job waits before it takes part of an idle worker, 0 for no
// such wait.
func (c Control) FragmentationWeight() float64 { return fragmentationWeightKey.get(c.v) }

// MemoryBytes returns the memory that the process may use in bytes, 0 for that of its host or control group.
func (c Control) MemoryBytes() int64 { return memoryBytesKey.get(c.v) }
