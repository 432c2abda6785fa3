package capacity

import (
	"context"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	"rosemarywind.example/rosemarywind/internal/clock"
)

// settleTime is the wait before the measurement, so that it covers neither handshakes nor full snapshots.
const settleTime = 5 * time.Second

// Measure simulates agents and watchers for the given time and prints the resource usage of the control process pid,
// which listens at the address control; folder is one that Prepare has written.
func Measure(ctx context.Context, out io.Writer, folder, control string, agents, watchers, pid int, duration time.Duration) (err error) {
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
	c, err := Start(ctx, &g, folder, control, agents, watchers, time.Now())
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
	bytesBefore, packetsBefore := c.Traffic()
	clock.Pause(ctx, duration)
	after, err := ReadUsage(pid)
	if err != nil {
		return err
	}
	bytesAfter, packetsAfter := c.Traffic()
	cancel()
	if err = g.Wait(); err != nil {
		return err
	}
	seconds := duration.Seconds()
	clients := max(1, float64(agents+watchers))
	_, err = fmt.Fprintf(out, "agents %d watchers %d: control %.2f%% of a core, %.1f MB resident, %.0f B/s and %.2f packets/s each, %.2f ms of a core for each connection\n",
		agents, watchers, 100*(after.processorTime-before.processorTime).Seconds()/seconds, float64(after.residentBytes)/1e6,
		float64(bytesAfter-bytesBefore)/seconds/clients, float64(packetsAfter-packetsBefore)/seconds/clients,
		(connected.processorTime-idle.processorTime).Seconds()*1000/clients)
	return err
}
