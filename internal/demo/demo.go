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
	limit          = 25 * time.Second
	requestsOfEach = 50
	threads        = 16
	workers        = 11
)

// names are the workspaces of the demo; the first is the one that submits the gang.
var names = []string{"mastering", "previews", "recipes", "scans"}

// Run runs the demo in folder, prints the result table to out and fails when an outcome is wrong.
func Run(ctx context.Context, out io.Writer, folder string, logger hclog.Logger, now time.Time) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("demo: %w", err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, limit)
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
	running, stop := context.WithCancel(ctx)
	var g errgroup.Group
	g.Go(func() error { return s.Run(running) })
	table, err := d.drive(ctx)
	stop()
	if runErr := g.Wait(); err == nil {
		err = runErr
	}
	if err != nil {
		return err
	}
	return table.print(out)
}

// driver sends the work of the demo.
type driver struct {
	system   *rosemarywind.System
	tokens   map[string]string
	operator *client.Operator
}

func newDriver(s *rosemarywind.System) (d *driver, err error) {
	d = &driver{system: s, tokens: map[string]string{}}
	for _, n := range names {
		d.tokens[n] = keys.NewToken()
	}
	d.operator, err = client.NewOperator(s.ControlURLs(), client.WithToken(s.OperatorToken()))
	return d, err
}

// drive declares the workspaces, waits until they are in force, and runs all work at once.
func (d *driver) drive(ctx context.Context) (t *table, err error) {
	if err = d.awaitEndpoints(ctx, workers); err != nil {
		return nil, err
	}
	if _, err = d.operator.Apply(ctx, declarationOf(d.tokens), 0, ""); err != nil {
		return nil, err
	}
	if err = d.awaitInForce(ctx); err != nil {
		return nil, err
	}
	t = newTable()
	g, ctx := errgroup.WithContext(ctx)
	for _, n := range names {
		g.Go(func() error { return d.requests(ctx, n, t) })
	}
	g.Go(func() error { return d.gang(ctx, t) })
	return t, g.Wait()
}

// gang submits a job with two members of eight accelerators in one rack, and waits for its end.
func (d *driver) gang(ctx context.Context, t *table) error {
	began := time.Now()
	j, err := d.operator.Submit(ctx, client.NewSubmission(names[0], 2, 8, "rack", client.WithPayload("sleep 300ms")), "")
	if err != nil {
		return err
	}
	j, err = d.awaitDone(ctx, j.ID())
	if err != nil {
		return err
	}
	t.gang(j, time.Since(began))
	return nil
}
