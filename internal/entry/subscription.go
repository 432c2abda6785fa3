package entry

import (
	"context"
	"errors"
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
	// A host that refuses stops reading, so its refusal may exist although the write failed.
	writeErr := wire.WriteOpening(s, wire.NewOpening(k, ""))
	_ = s.SetReadDeadline(time.Now().Add(watchTimeout))
	if err = wire.ReadStatus(s); err != nil {
		end()
		return nil, nil, errors.Join(err, writeErr)
	}
	return s, end, nil
}
