package link_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/request"
	"rosemarywind.example/rosemarywind/internal/wire"
)

// BenchmarkExchange measures one request to an agent and its answer at both ends, without HTTP.
func BenchmarkExchange(b *testing.B) {
	answer := request.NewAnswered(http.StatusOK, request.Headers{"Content-Type": {"text/plain"}}, []byte("answer"))
	f := newFixture(b, func(_ context.Context, s *link.Stream) {
		if _, err := wire.ReadOpening(s); err != nil {
			return
		}
		f, err := wire.ReadForward(s, time.Now())
		if err != nil {
			return
		}
		if _, err = f.ReadBody(s, 1<<20); err != nil {
			return
		}
		_ = wire.WriteAnswer(s, f.Request().ID(), answer, 1)
		s.CloseWrite()
		_, _ = s.Read(make([]byte, 1))
	})
	b.ReportAllocs()
	for b.Loop() {
		s, err := f.pool.Open(b.Context(), f.address)
		require.NoError(b, err)
		exchange(b, s)
		s.Finish()
	}
	t := f.pool.Traffic()
	b.ReportMetric(float64(t.SentPackets())/float64(b.N), "sent-packets/op")
	b.ReportMetric(float64(t.ReceivedPackets())/float64(b.N), "received-packets/op")
}

func exchange(b *testing.B, s *link.Stream) {
	b.Helper()
	r := request.New("r1", "previews", http.MethodPost, "/a", request.WithBody(nil, []byte("request")),
		request.WithDeadline(time.Now().Add(testTimeout)))
	require.NoError(b, wire.WriteForward(s, "", wire.NewForward(r, 1), time.Now()))
	_, _, err := wire.ReadAnswer(s, "r1", 1<<20)
	require.NoError(b, err)
}
