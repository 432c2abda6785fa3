package entry

import (
	"context"
	"time"

	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/wire"
)

// subscribe opens a stream on which a control host sends notices; it may take watchSilence to answer. The returned
// function gives the stream up.
func subscribe(ctx context.Context, p *link.Pool, address string, k wire.Kind) (s *link.Stream, end func(), err error) {
	opening, cancel := context.WithTimeout(ctx, watchSilence)
	defer cancel()
	if s, err = p.Open(opening, address); err != nil {
		return nil, nil, err
	}
	stop := s.CancelOnDone(ctx)
	end = func() {
		s.Cancel()
		stop()
	}
	if err = wire.WriteOpening(s, wire.NewOpening(k, "")); err == nil {
		_ = s.SetReadDeadline(time.Now().Add(watchSilence))
		err = wire.ReadStatus(s)
	}
	if err != nil {
		end()
		return nil, nil, err
	}
	return s, end, nil
}
