package storage

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"rosemarywind.example/rosemarywind/internal/ledger"
)

// EncodedMember is the encoded form of a member in files and messages.
type EncodedMember struct {
	ID      string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Voter   bool   `cbor:"3,keyasint,omitempty"`
}

// EncodedEntry is the encoded form of an entry in files and messages. Members is set for a membership entry only.
type EncodedEntry struct {
	Index   uint64          `cbor:"1,keyasint"`
	Term    uint64          `cbor:"2,keyasint"`
	Kind    string          `cbor:"3,keyasint"`
	Data    []byte          `cbor:"4,keyasint,omitempty"`
	Members []EncodedMember `cbor:"5,keyasint,omitempty"`
}

// EncodedSnapshot is the encoded form of a snapshot in files and messages.
type EncodedSnapshot struct {
	Index   uint64          `cbor:"1,keyasint"`
	Term    uint64          `cbor:"2,keyasint"`
	Members []EncodedMember `cbor:"3,keyasint"`
	Data    []byte          `cbor:"4,keyasint"`
}

// encodedFrame is the payload of one frame of the log file: the hard state and the entries of one sync.
type encodedFrame struct {
	Identity string         `cbor:"1,keyasint"`
	Term     uint64         `cbor:"2,keyasint"`
	Vote     string         `cbor:"3,keyasint,omitempty"`
	Entries  []EncodedEntry `cbor:"4,keyasint,omitempty"`
}

// decodeMode raises the limit of array elements, because the log after a snapshot is written as a single frame.
var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 24}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("cbor decoding options: %v", err))
	}
	return mode
}()

// EncodeEntries returns the encoded form of entries, which shares their data.
func EncodeEntries(entries []ledger.Entry) (encoded []EncodedEntry) {
	for _, e := range entries {
		encoded = append(encoded, EncodedEntry{
			Index: e.Index(), Term: e.Term(), Kind: string(e.Kind()), Data: e.Data(),
			Members: encodeMembers(e.Membership()),
		})
	}
	return encoded
}

// DecodeEntries is the inverse of EncodeEntries. It returns an error for an unknown kind or a gap between indices.
func DecodeEntries(encoded []EncodedEntry) (entries []ledger.Entry, err error) {
	for i, e := range encoded {
		if i > 0 && e.Index != encoded[i-1].Index+1 {
			return nil, fmt.Errorf("entry %d follows entry %d", e.Index, encoded[i-1].Index)
		}
		switch kind := ledger.EntryKind(e.Kind); kind {
		case ledger.Config:
			entries = append(entries, ledger.NewConfigEntry(e.Index, e.Term, decodeMembers(e.Members)))
		case ledger.NoOp, ledger.Data:
			entries = append(entries, ledger.NewEntry(e.Index, e.Term, kind, e.Data))
		default:
			return nil, fmt.Errorf("entry %d has unknown kind %q", e.Index, e.Kind)
		}
	}
	return entries, nil
}

// EncodeSnapshot returns the encoded form of a snapshot, which shares its data.
func EncodeSnapshot(s ledger.Snapshot) EncodedSnapshot {
	return EncodedSnapshot{Index: s.Index(), Term: s.Term(), Members: encodeMembers(s.Membership()), Data: s.Data()}
}

// DecodeSnapshot is the inverse of EncodeSnapshot and checks nothing.
func DecodeSnapshot(e EncodedSnapshot) ledger.Snapshot {
	return ledger.NewSnapshot(e.Index, e.Term, decodeMembers(e.Members), e.Data)
}

func encodeMembers(m ledger.Membership) (encoded []EncodedMember) {
	for _, e := range m.Members() {
		encoded = append(encoded, EncodedMember{ID: string(e.ID()), Address: e.Address(), Voter: e.Voter()})
	}
	return encoded
}

func decodeMembers(encoded []EncodedMember) ledger.Membership {
	members := make([]ledger.Member, len(encoded))
	for i, e := range encoded {
		members[i] = ledger.NewMember(ledger.MemberID(e.ID), e.Address, e.Voter)
	}
	return ledger.NewMembership(members...)
}
