package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/pkg/client"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

const entryPollInterval = 50 * time.Millisecond

// sendRequests sends each request of one workspace twice with the same idempotency key, through one entry and then the
// other, and adds to t whether it ran once and got the same response both times.
func (d *driver) sendRequests(ctx context.Context, name string, t *table) error {
	urgency := "patient"
	if name == "previews" {
		urgency = "urgent"
	}
	var g errgroup.Group
	g.SetLimit(maxConcurrentRequests)
	for i := range requestsPerWorkspace {
		g.Go(func() error {
			key := fmt.Sprintf("%s-%d", name, i)
			start := time.Now()
			status, firstOutcome, firstBody, err := d.post(ctx, i, name, urgency, key)
			if err != nil {
				return err
			}
			elapsed := time.Since(start)
			_, secondOutcome, secondBody, err := d.post(ctx, i+1, name, urgency, key)
			if err != nil {
				return err
			}
			t.addRequest(name, urgency, result{
				right: status == http.StatusOK && firstOutcome == outcome.Ran && secondOutcome == outcome.Ran &&
					bytes.Equal(firstBody, secondBody) && d.system.Runs(key) == 1,
				duration: elapsed,
			})
			return nil
		})
	}
	return g.Wait()
}

// awaitConfiguration returns when both entries serve requests of the first declared workspace.
func (d *driver) awaitConfiguration(ctx context.Context) error {
	for i := range d.system.EntryURLs() {
		for {
			status, _, _, err := d.post(ctx, i, workspaceNames[0], "patient", "")
			if err != nil {
				return err
			}
			if status == http.StatusOK {
				break
			}
			if !clock.Pause(ctx, entryPollInterval) {
				return fmt.Errorf("await configuration of the entries: last status %d: %w", status, ctx.Err())
			}
		}
	}
	return nil
}

// post sends one request through the entry with the given number modulo the number of entries.
func (d *driver) post(
	ctx context.Context, entry int, name, urgency, key string,
) (status int, o outcome.Outcome, body []byte, err error) {
	urls := d.system.EntryURLs()
	url := urls[entry%len(urls)] + "/w/" + name + "/work"
	h, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString("pattern "+key))
	if err != nil {
		return 0, "", nil, err
	}
	h.Header.Set("Authorization", "Bearer "+d.tokens[name])
	h.Header.Set(client.UrgencyHeader, urgency)
	if key != "" {
		h.Header.Set(client.KeyHeader, key)
	}
	response, err := http.DefaultClient.Do(h)
	if err != nil {
		return 0, "", nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, outcome.Outcome(response.Header.Get(outcome.Header)), body, err
}
