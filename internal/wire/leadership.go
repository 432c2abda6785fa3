package wire

import (
	"io"

	"rosemarywind.example/rosemarywind/internal/fleet"
)

type leadershipForm struct {
	Term   uint64 `cbor:"1,keyasint"`
	Leader string `cbor:"2,keyasint"`
}

// WriteLeadership writes a notice of the current leader to a stream of KindLeadership.
func WriteLeadership(w io.Writer, l fleet.Leadership) error {
	return writeFrame(w, leadershipForm{Term: l.Term(), Leader: l.Leader()})
}

// ReadLeadership reads a notice of the current leader from a stream of KindLeadership.
func ReadLeadership(r io.Reader) (l fleet.Leadership, err error) {
	defer annotate("read leadership", &err)
	var f leadershipForm
	if err = readFrame(r, &f, maxOpeningBytes); err != nil {
		return fleet.Leadership{}, err
	}
	return fleet.NewLeadership(f.Term, f.Leader), nil
}
