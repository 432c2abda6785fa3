package entry

import (
	"context"
	"time"

	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/wire"
)

// subscribe opens a stream of kind k on which the control host at address sends messages. It fails if the host does not
// accept the stream within watchTimeout. The caller closes the stream by calling end.
func subscribe(ctx context.Context, p *link.Pool, address string, k wire.Kind) (s *link.Stream, end func(), err error) {
	opening, cancel := context.WithTimeout(ctx, watchTimeout)
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
		_ = s.SetReadDeadline(time.Now().Add(watchTimeout))
		err = wire.ReadStatus(s)
	}
	if err != nil {
		end()
		return nil, nil, err
	}
	return s, end, nil
}
