package wire

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/run"
)

type speedForm struct {
	_         struct{} `cbor:",toarray"`
	Worker    incarnationForm
	Logarithm float64
	Agreement float64
	Weight    float64
	Age       int64
}

// newSpeedForm returns the form of a speed, or nil if there is none.
func newSpeedForm(s run.Speed, ok bool) *speedForm {
	if !ok {
		return nil
	}
	return &speedForm{
		Worker: newIncarnationForm(s.Worker()), Logarithm: s.Logarithm(), Agreement: s.Agreement(), Weight: s.Weight(),
		Age: int64(s.Age()),
	}
}

func (f speedForm) speed() run.Speed {
	return run.NewSpeed(f.Worker.incarnation(), f.Logarithm, f.Agreement, f.Weight, time.Duration(f.Age))
}
