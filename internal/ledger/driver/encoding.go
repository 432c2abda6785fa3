package driver

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"rosemarywind.example/rosemarywind/internal/ledger"
	"rosemarywind.example/rosemarywind/internal/ledger/storage"
)

// Kinds of messages on the wire.
const (
	kindPreVote          = "pre-vote"
	kindPreVoteReply     = "pre-vote-reply"
	kindRequestVote      = "vote"
	kindRequestVoteReply = "vote-reply"
	kindAppendEntries    = "append"
	kindMatchReply       = "matched"
	kindConflictReply    = "conflict"
	kindInstallSnapshot  = "install"
	kindTimeoutNow       = "timeout-now"
	kindProbe            = "probe"
	kindProbeReply       = "probe-reply"
	kindJoin             = "join"
	kindLeave            = "leave"
)

// encodedMessage is the wire form of all messages. Fields that a kind does not use are zero and left out.
type encodedMessage struct {
	To            string                   `cbor:"1,keyasint"`
	From          string                   `cbor:"2,keyasint"`
	Address       string                   `cbor:"3,keyasint"`
	Kind          string                   `cbor:"4,keyasint"`
	Term          uint64                   `cbor:"5,keyasint,omitempty"`
	CurrentTerm   uint64                   `cbor:"6,keyasint,omitempty"`
	Index         uint64                   `cbor:"7,keyasint,omitempty"`
	EntryTerm     uint64                   `cbor:"8,keyasint,omitempty"`
	ConflictIndex uint64                   `cbor:"9,keyasint,omitempty"`
	Flag          bool                     `cbor:"10,keyasint,omitempty"`
	Commit        uint64                   `cbor:"11,keyasint,omitempty"`
	Round         uint64                   `cbor:"12,keyasint,omitempty"`
	SentAt        int64                    `cbor:"13,keyasint,omitempty"`
	Entries       []storage.EncodedEntry   `cbor:"14,keyasint,omitempty"`
	Snapshot      *storage.EncodedSnapshot `cbor:"15,keyasint,omitempty"`
	JoinAddress   string                   `cbor:"16,keyasint,omitempty"`
	JoiningID     string                   `cbor:"17,keyasint,omitempty"`
	Reason        string                   `cbor:"18,keyasint,omitempty"`
}

func encodeEnvelope(env envelope) (data []byte, err error) {
	e := encodedMessage{To: string(env.to), From: string(env.from), Address: env.address}
	switch m := env.message.(type) {
	case ledger.PreVote:
		e.Kind, e.Term = kindPreVote, m.Term()
		e.Index, e.EntryTerm = m.Last()
	case ledger.PreVoteReply:
		e.Kind, e.Term, e.CurrentTerm, e.Flag = kindPreVoteReply, m.Term(), m.CurrentTerm(), m.Granted()
		e.Reason = string(m.Reason())
	case ledger.RequestVote:
		e.Kind, e.Term, e.Flag = kindRequestVote, m.Term(), m.Transfer()
		e.Index, e.EntryTerm = m.Last()
	case ledger.RequestVoteReply:
		e.Kind, e.Term, e.Flag, e.Reason = kindRequestVoteReply, m.Term(), m.Granted(), string(m.Reason())
	case ledger.AppendEntries:
		e.Kind, e.Term, e.Commit, e.Round, e.SentAt = kindAppendEntries, m.Term(), m.Commit(), m.Round(), int64(m.SentAt())
		e.Index, e.EntryTerm = m.Previous()
		e.Entries = storage.EncodeEntries(m.Entries())
	case ledger.AppendEntriesReply:
		e.Kind, e.Term, e.Round, e.SentAt, e.Index = kindMatchReply, m.Term(), m.Round(), int64(m.SentAt()), m.Index()
		if !m.Matched() {
			e.Kind = kindConflictReply
			e.EntryTerm, e.ConflictIndex = m.Conflict()
		}
	case ledger.InstallSnapshot:
		e.Kind, e.Term, e.Round, e.SentAt = kindInstallSnapshot, m.Term(), m.Round(), int64(m.SentAt())
		s := storage.EncodeSnapshot(m.Snapshot())
		e.Snapshot = &s
	case ledger.TimeoutNow:
		e.Kind, e.Term = kindTimeoutNow, m.Term()
	case ledger.Probe:
		e.Kind = kindProbe
	case ledger.ProbeReply:
		e.Kind, e.Term, e.Flag = kindProbeReply, m.Term(), m.LogExists()
	case ledger.Join:
		e.Kind, e.JoinAddress, e.JoiningID = kindJoin, m.Address(), string(m.Member())
	case ledger.Leave:
		e.Kind = kindLeave
	}
	return cbor.Marshal(e)
}

func decodeEnvelope(data []byte) (env envelope, err error) {
	defer annotate(&err, "decode ledger message")
	var e encodedMessage
	if err = cbor.Unmarshal(data, &e); err != nil {
		return env, err
	}
	env = envelope{to: ledger.MemberID(e.To), from: ledger.MemberID(e.From), address: e.Address}
	if env.message, err = decodeMessage(e); err == nil && env.to == "" && e.Kind != kindProbe && e.Kind != kindJoin {
		err = fmt.Errorf("message of kind %q names no receiver", e.Kind)
	}
	return env, err
}

func decodeMessage(e encodedMessage) (m ledger.Message, err error) {
	sentAt := time.Duration(e.SentAt)
	switch e.Kind {
	case kindPreVote:
		return ledger.NewPreVote(e.Term, e.Index, e.EntryTerm), nil
	case kindPreVoteReply:
		return ledger.NewPreVoteReply(e.Term, e.CurrentTerm, e.Flag).WithReason(ledger.VoteReason(e.Reason)), nil
	case kindRequestVote:
		return ledger.NewRequestVote(e.Term, e.Index, e.EntryTerm, e.Flag), nil
	case kindRequestVoteReply:
		return ledger.NewRequestVoteReply(e.Term, e.Flag).WithReason(ledger.VoteReason(e.Reason)), nil
	case kindAppendEntries:
		entries, err := storage.DecodeEntries(e.Entries)
		if err == nil && len(entries) > 0 && entries[0].Index() != e.Index+1 {
			err = fmt.Errorf("entry %d does not follow entry %d", entries[0].Index(), e.Index)
		}
		return ledger.NewAppendEntries(e.Term, e.Index, e.EntryTerm, entries, e.Commit, e.Round, sentAt), err
	case kindMatchReply:
		return ledger.NewMatchReply(e.Term, e.Round, sentAt, e.Index), nil
	case kindConflictReply:
		return ledger.NewConflictReply(e.Term, e.Round, sentAt, e.Index, e.EntryTerm, e.ConflictIndex), nil
	case kindInstallSnapshot:
		if e.Snapshot == nil {
			return nil, fmt.Errorf("message of kind %q has no snapshot", e.Kind)
		}
		return ledger.NewInstallSnapshot(e.Term, storage.DecodeSnapshot(*e.Snapshot), e.Round, sentAt), nil
	case kindTimeoutNow:
		return ledger.NewTimeoutNow(e.Term), nil
	case kindProbe:
		return ledger.Probe{}, nil
	case kindProbeReply:
		return ledger.NewProbeReply(e.Term, e.Flag), nil
	case kindJoin:
		return ledger.NewJoin(e.JoinAddress).For(ledger.MemberID(e.JoiningID)), nil
	case kindLeave:
		return ledger.Leave{}, nil
	default:
		return nil, fmt.Errorf("unknown kind %q", e.Kind)
	}
}
