package wire

import "io"

// WritePeerMessage writes a message that the ledger has encoded, with the name of the member that sends it.
func WritePeerMessage(w io.Writer, from string, message []byte) error {
	return writeFrame(w, peerForm{From: from, Message: message})
}

// ReadPeerMessage reads an encoded message of the ledger and the name of the member that sent it.
func ReadPeerMessage(r io.Reader) (from string, message []byte, err error) {
	defer annotate("read peer message", &err)
	var f peerForm
	if err = readFrame(r, &f, maxPeerFrameBytes); err != nil {
		return "", nil, err
	}
	return f.From, f.Message, nil
}

// maxPeerFrameBytes is large enough for a snapshot of the whole state.
const maxPeerFrameBytes = 256 << 20

type peerForm struct {
	From    string `cbor:"1,keyasint"`
	Message []byte `cbor:"2,keyasint"`
}
