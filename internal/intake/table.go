package intake

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Phase is what a connection does.
type Phase string

// The phases of a connection.
const (
	// Idle means that no part of a request has arrived since the last one.
	Idle Phase = "idle"
	// Receiving means that a part of a request has arrived.
	Receiving Phase = "receiving"
	// Serving means that a request has arrived and is not answered.
	Serving Phase = "serving"
	// Closing means that the connection is closed in favor of a new one, and serves no further request.
	Closing Phase = "closing"
)

// receiveGrace is how long a request may arrive before its connection may be closed in favor of a new one.
const receiveGrace = time.Second

// trackedConnection is a connection as the table of its listener counts it.
type trackedConnection struct {
	address netip.Addr
	state   atomic.Pointer[connectionState]
	close   func() // closes the connection in favor of a new one
}

// connectionState is a phase and the time at which it began; it is immutable.
type connectionState struct {
	phase    Phase
	since    time.Time
	previous Phase // before Closing
}

func newTrackedConnection(now time.Time, address netip.Addr) *trackedConnection {
	s := &trackedConnection{address: address}
	s.enter(now, Idle)
	return s
}

// enter begins a phase; it reports false if the connection is closing.
func (s *trackedConnection) enter(now time.Time, p Phase) bool {
	for next := (&connectionState{phase: p, since: now}); ; {
		current := s.state.Load()
		if current != nil && current.phase == Closing {
			return false
		}
		if s.state.CompareAndSwap(current, next) {
			return true
		}
	}
}

// arrive begins Receiving if the connection is idle. It does not replace another phase that begins meanwhile, since
// net/http may read on while a handler begins.
func (s *trackedConnection) arrive(now time.Time) {
	if current := s.state.Load(); current.phase == Idle {
		s.state.CompareAndSwap(current, &connectionState{phase: Receiving, since: now})
	}
}

// closable reports whether the connection may be closed in favor of a new one: nothing of a request is lost that has
// run, since it has not arrived as a whole.
func (s *connectionState) closable(now time.Time) bool {
	switch s.phase {
	case Idle:
		return true
	case Receiving:
		return now.Sub(s.since) >= receiveGrace
	case Serving, Closing:
	}
	return false
}

// before reports whether a connection in this state is closed before one in the other: idle ones first, the oldest
// first.
func (s *connectionState) before(other *connectionState) bool {
	if s.phase != other.phase {
		return s.phase == Idle
	}
	return s.since.Before(other.since)
}

// table holds the connections of one listener.
type table struct {
	limit int
	mu    sync.Mutex
	open  map[*trackedConnection]bool
	peers map[netip.Addr]*peerEntry
}

// peerEntry holds what is known of the clients at one address as long as one of them is connected.
type peerEntry struct {
	connections int
	peer        Peer
}

func newTable(limit int) *table {
	return &table{limit: limit, open: map[*trackedConnection]bool{}, peers: map[netip.Addr]*peerEntry{}}
}

// admit adds a connection. Where the limit of the listener or of the address is reached it removes another connection,
// which the caller closes, or refuses the new one.
func (t *table) admit(now time.Time, s *trackedConnection) (peer *Peer, removed *trackedConnection, refusal *Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.peers[s.address]
	sameAddress := entry != nil && entry.connections >= max(int(peerShare*float64(t.limit)), 1)
	if sameAddress || len(t.open) >= t.limit {
		if removed = t.displace(now, s.address, sameAddress); removed == nil {
			return nil, nil, &Refusal{reason: NoConnection}
		}
		t.drop(removed)
	}
	if entry = t.peers[s.address]; entry == nil {
		entry = &peerEntry{}
		t.peers[s.address] = entry
	}
	entry.connections++
	t.open[s] = true
	return &entry.peer, removed, nil
}

// displace chooses a connection and lets it begin to close; it returns nil if there is none. A connection that has
// received its request meanwhile is left alone.
func (t *table) displace(now time.Time, address netip.Addr, sameAddress bool) *trackedConnection {
	for {
		chosen, state := t.choose(now, address, sameAddress)
		if chosen == nil || chosen.state.CompareAndSwap(state, &connectionState{phase: Closing, since: state.since, previous: state.phase}) {
			return chosen
		}
	}
}

// choose returns the connection to close in favor of a new one, only of the given address if sameAddress is set, or nil.
func (t *table) choose(now time.Time, address netip.Addr, sameAddress bool) (chosen *trackedConnection, first *connectionState) {
	for s := range t.open {
		state := s.state.Load()
		if sameAddress && s.address != address || !state.closable(now) {
			continue
		}
		if first == nil || state.before(first) {
			chosen, first = s, state
		}
	}
	return chosen, first
}

// remove removes a connection that has ended.
func (t *table) remove(s *trackedConnection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drop(s)
}

// drop removes a connection if it is in the table; the caller holds mu.
func (t *table) drop(s *trackedConnection) {
	if !t.open[s] {
		return
	}
	delete(t.open, s)
	entry := t.peers[s.address]
	if entry.connections--; entry.connections == 0 {
		delete(t.peers, s.address)
	}
}

func (t *table) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}
