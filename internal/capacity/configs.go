package capacity

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"rosemarywind.example/rosemarywind/internal/keys"
	"rosemarywind.example/rosemarywind/pkg/client"
)

// workspaceCount is the number of workspaces of the largest installation the system is designed for.
const workspaceCount = 120

// MeasureConfigs applies small configuration changes and prints how long they took to reach all watchers. The control
// process listens at the addresses control and url; folder is one that Prepare has written.
func MeasureConfigs(ctx context.Context, out io.Writer, folder, control, url string, watchers, changes int) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("measure configurations: %w", err)
		}
	}()
	token, err := os.ReadFile(filepath.Join(folder, tokenFile))
	if err != nil {
		return err
	}
	o, err := client.NewOperator([]string{url}, client.WithToken(string(token)))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g errgroup.Group
	c, err := Start(ctx, &g, folder, control, 0, watchers, time.Now())
	if err != nil {
		return err
	}
	var times []time.Duration
	var bytes uint64
	for n := range changes {
		received, trafficBefore := c.ReceivedConfigs(), trafficBytes(c)
		start := time.Now()
		if err = applyChange(ctx, o, n); err != nil {
			return err
		}
		if err = c.awaitConfigs(ctx, received+int64(watchers)); err != nil {
			return err
		}
		if n > 0 { // the first change creates all workspaces and is not counted
			times = append(times, c.LastConfigTime().Sub(start))
			bytes += trafficBytes(c) - trafficBefore
		}
	}
	cancel()
	slices.Sort(times)
	_, err = fmt.Fprintf(out, "watchers %d, %d changes: in force everywhere after %v at the median, %v at worst; %d B for each change and watcher\n",
		watchers, len(times), times[len(times)/2].Round(time.Microsecond), times[len(times)-1].Round(time.Microsecond),
		bytes/uint64(len(times)*watchers))
	return err
}

func trafficBytes(c *Clients) uint64 {
	bytes, _ := c.Traffic()
	return bytes
}

// applyChange applies a configuration of all workspaces; in change n another one has a raised limit than in change n-1.
func applyChange(ctx context.Context, o *client.Operator, n int) error {
	c, err := o.Config(ctx)
	if err != nil {
		return err
	}
	var text []byte
	for w := range workspaceCount {
		inFlight := 40
		if w == n%workspaceCount {
			inFlight += n
		}
		text = fmt.Appendf(text, "[[workspace]]\nname = \"team%03d\"\ntenant = \"t\"\nlimits = { in_flight = %d, queued = 100 }\ntoken_digests = [%q]\n",
			w, inFlight, keys.Digest(fmt.Sprint(w)))
	}
	_, err = o.Apply(ctx, text, c.Revision(), "")
	return err
}
