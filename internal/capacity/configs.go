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

// workspacesDeclared is the number of workspaces at the size to design for.
const workspacesDeclared = 120

// MeasureConfigs applies changes of one workspace each, and prints how long each took until every watcher had it.
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
	p, err := Start(ctx, &g, folder, control, 0, watchers, time.Now())
	if err != nil {
		return err
	}
	var times []time.Duration
	var bytes uint64
	for n := range changes {
		was, before := p.Configs(), trafficBytes(p)
		began := time.Now()
		if err = applyChange(ctx, o, n); err != nil {
			return err
		}
		if err = p.awaitConfigs(ctx, was+int64(watchers)); err != nil {
			return err
		}
		if n > 0 { // the first change declares all workspaces
			times = append(times, p.LastConfig().Sub(began))
			bytes += trafficBytes(p) - before
		}
	}
	cancel()
	slices.Sort(times)
	_, err = fmt.Fprintf(out, "watchers %d, %d changes: in force everywhere after %v at the median, %v at worst; %d B for each change and watcher\n",
		watchers, len(times), times[len(times)/2].Round(time.Microsecond), times[len(times)-1].Round(time.Microsecond),
		bytes/uint64(len(times)*watchers))
	return err
}

func trafficBytes(p *Players) uint64 {
	bytes, _ := p.Traffic()
	return bytes
}

// applyChange declares all workspaces, with another limit for one of them at each change.
func applyChange(ctx context.Context, o *client.Operator, n int) error {
	c, err := o.Config(ctx)
	if err != nil {
		return err
	}
	var text []byte
	for w := range workspacesDeclared {
		inFlight := 40
		if w == n%workspacesDeclared {
			inFlight += n
		}
		text = fmt.Appendf(text, "[[workspace]]\nname = \"team%03d\"\ntenant = \"t\"\nlimits = { in_flight = %d, queued = 100 }\ntoken_digests = [%q]\n",
			w, inFlight, keys.Digest(fmt.Sprint(w)))
	}
	_, err = o.Apply(ctx, text, c.Revision(), "")
	return err
}
