package wire

import (
	"github.com/fxamacker/cbor/v2"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/registry"
)

type storedReplyForm struct {
	RequestID string     `cbor:"1,keyasint"`
	Result    resultForm `cbor:"2,keyasint"`
	At        int64      `cbor:"3,keyasint"`
}

type stateForm struct {
	Config       configForm        `cbor:"1,keyasint"`
	Jobs         []jobForm         `cbor:"2,keyasint,omitempty"`
	Claims       []claimForm       `cbor:"3,keyasint,omitempty"`
	Replies      []storedReplyForm `cbor:"4,keyasint,omitempty"`
	Drained      []string          `cbor:"5,keyasint,omitempty"`
	FencingToken uint64            `cbor:"6,keyasint"`
	Sequence     uint64            `cbor:"7,keyasint"`
	Archive      [][]byte          `cbor:"8,keyasint,omitempty"`
	Evacuations  []evacuationForm  `cbor:"9,keyasint,omitempty"`
}

// EncodeState returns a snapshot of the registry's state.
func EncodeState(s registry.State) (data []byte, err error) {
	defer annotate("encode state", &err)
	f := stateForm{Config: fromConfig(s.Config()), FencingToken: uint64(s.LatestFencingToken()), Sequence: s.Sequence()}
	for _, j := range s.Jobs().All() {
		f.Jobs = append(f.Jobs, fromJob(j))
	}
	for _, c := range s.Claims().All() {
		f.Claims = append(f.Claims, fromClaim(c))
	}
	for r := range s.Archive().Segments() {
		f.Archive = append(f.Archive, encodeArchiveRun(r))
	}
	for _, r := range s.Replies().All() {
		f.Replies = append(f.Replies, storedReplyForm{
			RequestID: r.RequestID(), Result: fromResult(r.Result()), At: toNanos(r.AnsweredAt()),
		})
	}
	for name := range s.Drained().All() {
		f.Drained = append(f.Drained, name)
	}
	for _, e := range s.EvacuationList() {
		f.Evacuations = append(f.Evacuations, newEvacuationForm(e))
	}
	return cbor.Marshal(f)
}

// unmarshalState decodes a snapshot, which may have longer arrays and maps than the codec allows in messages.
func unmarshalState(data []byte, f any) error {
	mode, err := cbor.DecOptions{MaxArrayElements: maxStateElements, MaxMapPairs: maxStateElements}.DecMode()
	if err != nil {
		return err
	}
	return mode.Unmarshal(data, f)
}

// DecodeState restores the registry's state from a snapshot; it fails if the snapshot is malformed.
func DecodeState(data []byte) (s registry.State, err error) {
	defer annotate("decode state", &err)
	var f stateForm
	if err = unmarshalState(data, &f); err != nil {
		return registry.State{}, err
	}
	config, err := f.Config.config()
	if err != nil {
		return registry.State{}, err
	}
	jobs := make([]job.Job, len(f.Jobs))
	for i, j := range f.Jobs {
		if jobs[i], err = j.job(); err != nil {
			return registry.State{}, err
		}
	}
	claims := make([]registry.Claim, len(f.Claims))
	for i, c := range f.Claims {
		claims[i] = c.claim()
	}
	replies := make([]registry.Reply, len(f.Replies))
	for i, r := range f.Replies {
		result, err := r.Result.result()
		if err != nil {
			return registry.State{}, err
		}
		replies[i] = registry.NewReply(r.RequestID, result, fromNanos(r.At))
	}
	runs := make([][]registry.ArchivedClaim, len(f.Archive))
	for i, r := range f.Archive {
		if runs[i], err = decodeArchiveRun(r); err != nil {
			return registry.State{}, err
		}
	}
	return registry.RestoreState(config, jobs, claims, registry.NewArchive(runs), replies, f.Drained,
		lease.FencingToken(f.FencingToken), f.Sequence).WithEvacuations(toEvacuations(f.Evacuations)), nil
}

// maxStateElements is large enough for the claims of a day at 100 per second, which are 8.64 million.
const maxStateElements = 10_000_000
