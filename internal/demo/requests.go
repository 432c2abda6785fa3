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

const inForcePause = 50 * time.Millisecond

// requests sends the requests of one workspace through both entry hosts, each with a key, and a resend of each.
func (d *driver) requests(ctx context.Context, name string, t *table) error {
	urgency := "patient"
	if name == "previews" {
		urgency = "urgent"
	}
	var g errgroup.Group
	g.SetLimit(threads)
	for i := range requestsOfEach {
		g.Go(func() error {
			key := fmt.Sprintf("%s-%d", name, i)
			began := time.Now()
			status, first, answer, err := d.post(ctx, i, name, urgency, key)
			if err != nil {
				return err
			}
			took := time.Since(began)
			_, second, again, err := d.post(ctx, i+1, name, urgency, key)
			if err != nil {
				return err
			}
			t.request(name, urgency, verdict{
				ok: status == http.StatusOK && first == outcome.Ran && second == outcome.Ran &&
					bytes.Equal(answer, again) && d.system.Runs(key) == 1,
				took: took,
			})
			return nil
		})
	}
	return g.Wait()
}

// awaitInForce returns when both entry hosts know the workspaces.
func (d *driver) awaitInForce(ctx context.Context) error {
	for i := range d.system.EntryURLs() {
		for {
			status, _, _, err := d.post(ctx, i, names[0], "patient", "")
			if err != nil {
				return err
			}
			if status == http.StatusOK {
				break
			}
			if !clock.Pause(ctx, inForcePause) {
				return fmt.Errorf("configuration not in force, last status %d: %w", status, ctx.Err())
			}
		}
	}
	return nil
}

func (d *driver) post(
	ctx context.Context, host int, name, urgency, key string,
) (status int, o outcome.Outcome, body []byte, err error) {
	urls := d.system.EntryURLs()
	url := urls[host%len(urls)] + "/w/" + name + "/work"
	h, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString("pattern "+key))
	if err != nil {
		return 0, "", nil, err
	}
	h.Header.Set("Authorization", "Bearer "+d.tokens[name])
	h.Header.Set(client.UrgencyHeader, urgency)
	if key != "" {
		h.Header.Set(client.KeyHeader, key)
	}
	answer, err := http.DefaultClient.Do(h)
	if err != nil {
		return 0, "", nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err = io.ReadAll(answer.Body)
	return answer.StatusCode, outcome.Outcome(answer.Header.Get(outcome.Header)), body, err
}
