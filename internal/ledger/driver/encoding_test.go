package driver

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/ledger"
)

// earlierMessage is the wire form of the versions that give no reason for a vote.
type earlierMessage struct {
	To          string `cbor:"1,keyasint"`
	From        string `cbor:"2,keyasint"`
	Address     string `cbor:"3,keyasint"`
	Kind        string `cbor:"4,keyasint"`
	Term        uint64 `cbor:"5,keyasint,omitempty"`
	CurrentTerm uint64 `cbor:"6,keyasint,omitempty"`
	Flag        bool   `cbor:"10,keyasint,omitempty"`
}

// Guards against an election that no member wins while the control hosts run two versions, because replies to requests
// for votes with and without a reason are not read alike.
func TestVoteReplyEncoding(t *testing.T) {
	for name, c := range map[string]struct{ reply, withoutReason ledger.Message }{
		"pre-vote refused": {
			ledger.NewPreVoteReply(3, 2, false).WithReason(ledger.LogBehind), ledger.NewPreVoteReply(3, 2, false),
		},
		"pre-vote granted": {
			ledger.NewPreVoteReply(3, 2, true).WithReason(ledger.VoteGranted), ledger.NewPreVoteReply(3, 2, true),
		},
		"vote refused": {
			ledger.NewRequestVoteReply(3, false).WithReason(ledger.LeaseHeld), ledger.NewRequestVoteReply(3, false),
		},
		"vote granted": {
			ledger.NewRequestVoteReply(3, true).WithReason(ledger.VoteGranted), ledger.NewRequestVoteReply(3, true),
		},
	} {
		sent := envelope{to: "a", from: "b", address: "b", message: c.reply}
		plain := envelope{to: "a", from: "b", address: "b", message: c.withoutReason}
		t.Run(name, func(t *testing.T) { assertDecoded(t, sent, requireEncoded(t, sent)) })
		t.Run(name+" by an earlier version", func(t *testing.T) { assertDecoded(t, plain, requireEncoded(t, plain)) })
		t.Run(name+", read by an earlier version", func(t *testing.T) {
			assert.Equal(t, requireEarlier(t, requireEncoded(t, plain)), requireEarlier(t, requireEncoded(t, sent)))
		})
	}
}

// requireEarlier decodes a message as an earlier version does.
func requireEarlier(t *testing.T, data []byte) (m earlierMessage) {
	t.Helper()
	require.NoError(t, cbor.Unmarshal(data, &m))
	return m
}

func requireEncoded(t *testing.T, e envelope) []byte {
	t.Helper()
	data, err := encodeEnvelope(e)
	require.NoError(t, err)
	return data
}

func assertDecoded(t *testing.T, want envelope, data []byte) {
	t.Helper()
	got, err := decodeEnvelope(data)
	require.NoError(t, err)
	assert.Equal(t, want, got)
}
