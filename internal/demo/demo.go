package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"rosemarywind.example/rosemarywind"
	"rosemarywind.example/rosemarywind/internal/keys"
	"rosemarywind.example/rosemarywind/pkg/client"
)

const (
	timeout               = 25 * time.Second
	requestsPerWorkspace  = 50
	maxConcurrentRequests = 16
	workers               = 11
)

// workspaceNames are the workspaces that the demo declares; the first one submits the gang job.
var workspaceNames = []string{"mastering", "previews", "recipes", "scans"}

// Run runs the demo with its data in folder and prints the result table to out. It returns an error if an outcome is
// wrong or the demo takes longer than 25 s.
func Run(ctx context.Context, out io.Writer, folder string, logger hclog.Logger, now time.Time) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("demo: %w", err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s, err := rosemarywind.New(now, rosemarywind.WithFolder(folder), rosemarywind.WithLogger(logger),
		rosemarywind.WithHosts(1, 2, workers))
	if err != nil {
		return err
	}
	d, err := newDriver(s)
	if err != nil {
		return err
	}
	systemCtx, stop := context.WithCancel(ctx)
	var g errgroup.Group
	g.Go(func() error { return s.Run(systemCtx) })
	table, err := d.run(ctx)
	stop()
	if runErr := g.Wait(); err == nil {
		err = runErr
	}
	if err != nil {
		return err
	}
	return table.print(out)
}

// driver sends the requests and the job of the demo to the system.
type driver struct {
	system   *rosemarywind.System
	tokens   map[string]string
	operator *client.Operator
}

func newDriver(s *rosemarywind.System) (d *driver, err error) {
	d = &driver{system: s, tokens: map[string]string{}}
	for _, n := range workspaceNames {
		d.tokens[n] = keys.NewToken()
	}
	d.operator, err = client.NewOperator(s.ControlURLs(), client.WithToken(s.OperatorToken()))
	return d, err
}

// run declares the workspaces, waits until both entries serve them, and sends the requests and the job concurrently.
func (d *driver) run(ctx context.Context) (t *table, err error) {
	if err = d.awaitEndpoints(ctx, workers); err != nil {
		return nil, err
	}
	if _, err = d.operator.Apply(ctx, newDeclaration(d.tokens), 0, ""); err != nil {
		return nil, err
	}
	if err = d.awaitConfiguration(ctx); err != nil {
		return nil, err
	}
	t = newTable()
	g, ctx := errgroup.WithContext(ctx)
	for _, n := range workspaceNames {
		g.Go(func() error { return d.sendRequests(ctx, n, t) })
	}
	g.Go(func() error { return d.runGang(ctx, t) })
	return t, g.Wait()
}

// runGang submits a job with two members of eight accelerators each in one rack, and waits until it has ended.
func (d *driver) runGang(ctx context.Context, t *table) error {
	start := time.Now()
	j, err := d.operator.Submit(ctx, client.NewSubmission(workspaceNames[0], 2, 8, "rack", client.WithPayload("sleep 300ms")), "")
	if err != nil {
		return err
	}
	j, err = d.awaitDone(ctx, j.ID())
	if err != nil {
		return err
	}
	t.addGang(j, time.Since(start))
	return nil
}
