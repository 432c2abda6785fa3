package driver

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"rosemarywind.example/rosemarywind/internal/ledger"
	"rosemarywind.example/rosemarywind/internal/ledger/storage"
)

// The kinds of messages.
const (
	kindPreVote      = "pre-vote"
	kindPreVoteReply = "pre-vote-reply"
	kindVote         = "vote"
	kindVoteReply    = "vote-reply"
	kindAppend       = "append"
	kindMatched      = "matched"
	kindConflict     = "conflict"
	kindInstall      = "install"
	kindTimeoutNow   = "timeout-now"
	kindProbe        = "probe"
	kindProbeReply   = "probe-reply"
	kindJoin         = "join"
)

// encodedMessage is the form of all messages; a kind leaves out the fields that it does not use.
type encodedMessage struct {
	To       string                   `cbor:"1,keyasint"`
	From     string                   `cbor:"2,keyasint"`
	Address  string                   `cbor:"3,keyasint"`
	Kind     string                   `cbor:"4,keyasint"`
	Term     uint64                   `cbor:"5,keyasint,omitempty"`
	Current  uint64                   `cbor:"6,keyasint,omitempty"`
	Index    uint64                   `cbor:"7,keyasint,omitempty"`
	AtTerm   uint64                   `cbor:"8,keyasint,omitempty"`
	AtIndex  uint64                   `cbor:"9,keyasint,omitempty"`
	Yes      bool                     `cbor:"10,keyasint,omitempty"`
	Commit   uint64                   `cbor:"11,keyasint,omitempty"`
	Round    uint64                   `cbor:"12,keyasint,omitempty"`
	Stamp    int64                    `cbor:"13,keyasint,omitempty"`
	Entries  []storage.EncodedEntry   `cbor:"14,keyasint,omitempty"`
	Snapshot *storage.EncodedSnapshot `cbor:"15,keyasint,omitempty"`
	Joining  string                   `cbor:"16,keyasint,omitempty"`
	Joiner   string                   `cbor:"17,keyasint,omitempty"`
}

func encode(d delivery) (data []byte, err error) {
	e := encodedMessage{To: string(d.to), From: string(d.from), Address: d.address}
	switch m := d.message.(type) {
	case ledger.PreVote:
		e.Kind, e.Term = kindPreVote, m.Term()
		e.Index, e.AtTerm = m.Last()
	case ledger.PreVoteReply:
		e.Kind, e.Term, e.Current, e.Yes = kindPreVoteReply, m.Term(), m.Current(), m.Granted()
	case ledger.Vote:
		e.Kind, e.Term, e.Yes = kindVote, m.Term(), m.Transfer()
		e.Index, e.AtTerm = m.Last()
	case ledger.VoteReply:
		e.Kind, e.Term, e.Yes = kindVoteReply, m.Term(), m.Granted()
	case ledger.Append:
		e.Kind, e.Term, e.Commit, e.Round, e.Stamp = kindAppend, m.Term(), m.Commit(), m.Round(), int64(m.Stamp())
		e.Index, e.AtTerm = m.Previous()
		e.Entries = storage.EncodeEntries(m.Entries())
	case ledger.AppendReply:
		e.Kind, e.Term, e.Round, e.Stamp, e.Index = kindMatched, m.Term(), m.Round(), int64(m.Stamp()), m.Index()
		if !m.Matched() {
			e.Kind = kindConflict
			e.AtTerm, e.AtIndex = m.Conflict()
		}
	case ledger.Install:
		e.Kind, e.Term, e.Round, e.Stamp = kindInstall, m.Term(), m.Round(), int64(m.Stamp())
		s := storage.EncodeSnapshot(m.Snapshot())
		e.Snapshot = &s
	case ledger.TimeoutNow:
		e.Kind, e.Term = kindTimeoutNow, m.Term()
	case ledger.Probe:
		e.Kind = kindProbe
	case ledger.ProbeReply:
		e.Kind, e.Term = kindProbeReply, m.Term()
	case ledger.Join:
		e.Kind, e.Joining, e.Joiner = kindJoin, m.Address(), string(m.Member())
	}
	return cbor.Marshal(e)
}

func decode(data []byte) (d delivery, err error) {
	defer annotate(&err, "decode ledger message")
	var e encodedMessage
	if err = cbor.Unmarshal(data, &e); err != nil {
		return d, err
	}
	d = delivery{to: ledger.MemberID(e.To), from: ledger.MemberID(e.From), address: e.Address}
	if d.message, err = message(e); err == nil && d.to == "" && e.Kind != kindProbe && e.Kind != kindJoin {
		err = fmt.Errorf("message of kind %q names no receiver", e.Kind)
	}
	return d, err
}

func message(e encodedMessage) (m ledger.Message, err error) {
	stamp := time.Duration(e.Stamp)
	switch e.Kind {
	case kindPreVote:
		return ledger.NewPreVote(e.Term, e.Index, e.AtTerm), nil
	case kindPreVoteReply:
		return ledger.NewPreVoteReply(e.Term, e.Current, e.Yes), nil
	case kindVote:
		return ledger.NewVote(e.Term, e.Index, e.AtTerm, e.Yes), nil
	case kindVoteReply:
		return ledger.NewVoteReply(e.Term, e.Yes), nil
	case kindAppend:
		entries, err := storage.DecodeEntries(e.Entries)
		if err == nil && len(entries) > 0 && entries[0].Index() != e.Index+1 {
			err = fmt.Errorf("entry %d does not follow entry %d", entries[0].Index(), e.Index)
		}
		return ledger.NewAppend(e.Term, e.Index, e.AtTerm, entries, e.Commit, e.Round, stamp), err
	case kindMatched:
		return ledger.NewMatched(e.Term, e.Round, stamp, e.Index), nil
	case kindConflict:
		return ledger.NewConflict(e.Term, e.Round, stamp, e.Index, e.AtTerm, e.AtIndex), nil
	case kindInstall:
		if e.Snapshot == nil {
			return nil, fmt.Errorf("message of kind %q has no snapshot", e.Kind)
		}
		return ledger.NewInstall(e.Term, storage.DecodeSnapshot(*e.Snapshot), e.Round, stamp), nil
	case kindTimeoutNow:
		return ledger.NewTimeoutNow(e.Term), nil
	case kindProbe:
		return ledger.Probe{}, nil
	case kindProbeReply:
		return ledger.NewProbeReply(e.Term), nil
	case kindJoin:
		return ledger.NewJoin(e.Joining).For(ledger.MemberID(e.Joiner)), nil
	default:
		return nil, fmt.Errorf("unknown kind %q", e.Kind)
	}
}
