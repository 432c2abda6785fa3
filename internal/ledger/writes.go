package ledger

// writes tracks what storage was asked to sync and which messages wait for it.
type writes struct {
	sequence  uint64
	persisted uint64
	durable   uint64
	dirty     bool
	from      uint64
	snapshot  *Snapshot
	pending   []pendingWrite
	held      []heldMessage
}

type pendingWrite struct {
	sequence uint64
	last     uint64
}

type heldMessage struct {
	sequence uint64
	to       MemberID
	message  Message
}

// hold sends a message once all that this member has decided so far is on its disk.
// A message to the member itself is handled then.
func (c *Core) hold(to MemberID, m Message) {
	c.writes.held = append(c.writes.held, heldMessage{to: to, message: m})
}

func (c *Core) markHard() { c.writes.dirty = true }

func (c *Core) appendLog(entries ...Entry) {
	if len(entries) == 0 {
		return
	}
	w := &c.writes
	at := entries[0].index
	for i := range w.pending {
		w.pending[i].last = min(w.pending[i].last, at-1)
	}
	w.durable = min(w.durable, at-1)
	if w.from == 0 || at < w.from {
		w.from = at
	}
	w.dirty = true
	c.log.append(entries...)
	c.membership, c.membershipAt = c.log.membership(c.log.lastIndex())
	c.updatePeers()
}

// flush emits one Persist for all that changed and the messages that wait for nothing.
func (c *Core) flush() {
	w := &c.writes
	if w.dirty {
		w.sequence++
		p := Persist{sequence: w.sequence, hard: NewHardState(c.self, c.term, c.vote), snapshot: w.snapshot}
		switch {
		case w.snapshot != nil:
			p.entries = c.log.from(w.snapshot.index + 1)
		case w.from > 0:
			p.entries = c.log.from(w.from)
		}
		c.emit(p)
		w.pending = append(w.pending, pendingWrite{sequence: w.sequence, last: c.log.lastIndex()})
		w.dirty, w.from, w.snapshot = false, 0, nil
	}
	for i := range w.held {
		if w.held[i].sequence == 0 {
			w.held[i].sequence = w.sequence
		}
	}
	c.release()
}

// release sends the held messages whose writes are synced.
func (c *Core) release() {
	w := &c.writes
	for len(w.held) > 0 && w.held[0].sequence <= w.persisted {
		h := w.held[0]
		w.held = w.held[1:]
		c.send(h.to, h.message)
	}
}

// persisted notes that storage has synced all writes up to sequence.
func (c *Core) persisted(sequence uint64) {
	w := &c.writes
	w.persisted = max(w.persisted, sequence)
	for len(w.pending) > 0 && w.pending[0].sequence <= sequence {
		w.durable = max(w.durable, w.pending[0].last)
		w.pending = w.pending[1:]
	}
	if c.role == Candidate && c.vote == c.self && w.persisted >= w.sequence {
		c.awaitVotes()
		c.count(c.self)
	}
}
