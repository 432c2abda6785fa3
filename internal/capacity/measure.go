package capacity

import (
	"context"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	"rosemarywind.example/rosemarywind/internal/clock"
)

// settleTime lets handshakes and full snapshots pass before the measurement begins.
const settleTime = 5 * time.Second

// Measure plays agents and watchers for the given time and prints what the control process pid used.
func Measure(ctx context.Context, out io.Writer, folder, control string, agents, watchers, pid int, length time.Duration) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("measure: %w", err)
		}
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g errgroup.Group
	idle, err := ReadUsage(pid)
	if err != nil {
		return err
	}
	p, err := Start(ctx, &g, folder, control, agents, watchers, time.Now())
	if err != nil {
		return err
	}
	connected, err := ReadUsage(pid)
	if err != nil {
		return err
	}
	clock.Pause(ctx, settleTime)
	before, err := ReadUsage(pid)
	if err != nil {
		return err
	}
	bytes, packets := p.Traffic()
	clock.Pause(ctx, length)
	after, err := ReadUsage(pid)
	if err != nil {
		return err
	}
	moreBytes, morePackets := p.Traffic()
	cancel()
	if err = g.Wait(); err != nil {
		return err
	}
	seconds := length.Seconds()
	players := max(1, float64(agents+watchers))
	_, err = fmt.Fprintf(out, "agents %d watchers %d: control %.2f%% of a core, %.1f MB resident, %.0f B/s and %.2f packets/s each, %.2f ms of a core for each connection\n",
		agents, watchers, 100*(after.processor-before.processor).Seconds()/seconds, float64(after.resident)/1e6,
		float64(moreBytes-bytes)/seconds/players, float64(morePackets-packets)/seconds/players,
		(connected.processor-idle.processor).Seconds()*1000/players)
	return err
}
