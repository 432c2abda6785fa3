package wire

import "rosemarywind.example/rosemarywind/internal/batch"

// evacuationForm is an evacuated availability zone in a snapshot; it is a map, so that fields can be added.
type evacuationForm struct {
	Zone   string `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint,omitempty"`
	Since  int64  `cbor:"3,keyasint"`
}

func newEvacuationForm(e batch.Evacuation) evacuationForm {
	return evacuationForm{Zone: e.Zone(), Reason: e.Reason(), Since: toNanos(e.Since())}
}

func (f evacuationForm) evacuation() batch.Evacuation {
	return batch.NewEvacuation(f.Zone, f.Reason, fromNanos(f.Since))
}

func toEvacuations(forms []evacuationForm) []batch.Evacuation {
	list := make([]batch.Evacuation, len(forms))
	for i, f := range forms {
		list[i] = f.evacuation()
	}
	return list
}
