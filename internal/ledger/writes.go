package ledger

// writes tracks the writes passed to storage and the messages that must not be sent before a sync.
type writes struct {
	sequence     uint64
	persisted    uint64 // last sequence number reported as synced
	durableIndex uint64 // last synced index of the log
	dirty        bool
	dirtyFrom    uint64 // first index to write; 0 for none
	snapshot     *Snapshot
	pending      []pendingWrite
	delayed      []delayedMessage
}

type pendingWrite struct {
	sequence  uint64
	lastIndex uint64
}

type delayedMessage struct {
	sequence uint64
	to       MemberID
	message  Message
}

// sendAfterSync sends a message once all state changes made so far are synced.
func (c *Core) sendAfterSync(to MemberID, m Message) {
	c.writes.delayed = append(c.writes.delayed, delayedMessage{to: to, message: m})
}

func (c *Core) markDirty() { c.writes.dirty = true }

func (c *Core) appendLog(entries ...Entry) {
	if len(entries) == 0 {
		return
	}
	w := &c.writes
	at := entries[0].index
	for i := range w.pending {
		w.pending[i].lastIndex = min(w.pending[i].lastIndex, at-1)
	}
	w.durableIndex = min(w.durableIndex, at-1)
	if w.dirtyFrom == 0 || at < w.dirtyFrom {
		w.dirtyFrom = at
	}
	w.dirty = true
	c.log.append(entries...)
	c.membership, c.membershipIndex = c.log.membership(c.log.lastIndex())
	c.updatePeers()
}

// flush emits one Persist for all unsaved changes, and sends the delayed messages that need no further sync.
func (c *Core) flush() {
	w := &c.writes
	if w.dirty {
		w.sequence++
		p := Persist{sequence: w.sequence, hardState: NewHardState(c.self, c.term, c.vote), snapshot: w.snapshot}
		switch {
		case w.snapshot != nil:
			p.entries = c.log.entriesFrom(w.snapshot.index + 1)
		case w.dirtyFrom > 0:
			p.entries = c.log.entriesFrom(w.dirtyFrom)
		}
		c.emit(p)
		w.pending = append(w.pending, pendingWrite{sequence: w.sequence, lastIndex: c.log.lastIndex()})
		w.dirty, w.dirtyFrom, w.snapshot = false, 0, nil
	}
	for i := range w.delayed {
		if w.delayed[i].sequence == 0 {
			w.delayed[i].sequence = w.sequence
		}
	}
	c.sendDelayed()
}

// sendDelayed sends the delayed messages whose writes are synced.
func (c *Core) sendDelayed() {
	w := &c.writes
	for len(w.delayed) > 0 && w.delayed[0].sequence <= w.persisted {
		h := w.delayed[0]
		w.delayed = w.delayed[1:]
		c.send(h.to, h.message)
	}
}

// persisted records that storage has synced all writes up to sequence. A candidate then counts its vote for itself.
func (c *Core) persisted(sequence uint64) {
	w := &c.writes
	w.persisted = max(w.persisted, sequence)
	for len(w.pending) > 0 && w.pending[0].sequence <= sequence {
		w.durableIndex = max(w.durableIndex, w.pending[0].lastIndex)
		w.pending = w.pending[1:]
	}
	if c.role == Candidate && c.vote == c.self && w.persisted >= w.sequence {
		c.resetVoteTimeout()
		c.recordVote(c.self)
	}
}
