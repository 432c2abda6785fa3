package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"rosemarywind.example/rosemarywind/internal/task"
)

const (
	orderTimeout           = 3 * time.Second
	longPollTimeout        = 15 * time.Second
	maxPlatformConnections = 16
	maxPlatformBytes       = 4 << 20
)

// platform is the client of the worker's HTTP interface.
type platform struct {
	base   string
	client *http.Client
}

func newPlatform(base string) *platform {
	return &platform{
		base: strings.TrimSuffix(base, "/"), client: &http.Client{Transport: newTransport(maxPlatformConnections)},
	}
}

// carryOut sends one order to the worker; after an error it is unknown whether the order took effect.
func (p *platform) carryOut(ctx context.Context, o task.Order) (r task.Reply, err error) {
	var action string
	var f taskForm
	switch t := o.(type) {
	case task.Reserve:
		action, f = "reserve", newTaskForm(t.ID(), uint64(t.FencingToken()))
		f.Accelerators, f.LeaseMS, f.Payload = t.Accelerators(), t.LeaseDuration().Milliseconds(), t.Payload()
		f.Sequence, f.Hub, f.Members = uint64(t.Sequence()), t.Watch().Hub(), t.Watch().Members()
	case task.Start:
		action, f = "start", newTaskForm(t.ID(), uint64(t.FencingToken()))
	case task.Renew:
		action, f = "renew", newTaskForm(t.ID(), uint64(t.FencingToken()))
		f.LeaseMS, f.Sequence, f.BaseSequence = t.LeaseDuration().Milliseconds(), uint64(t.Sequence()), uint64(t.BaseSequence())
	case task.Stop:
		action, f = "stop", newTaskForm(t.ID(), uint64(t.FencingToken()))
		if t.Checkpoint() {
			action = "checkpoint"
		}
	case task.Throttle:
		action, f = "throttle", newTaskForm(t.ID(), uint64(t.FencingToken()))
		f.Percent, f.Sequence = t.Percent(), uint64(t.Sequence())
	}
	return p.post(ctx, action, f)
}

func newTaskForm(id task.ID, fencingToken uint64) taskForm {
	return taskForm{Job: id.Job(), Index: id.Index(), FencingToken: fencingToken}
}

func (p *platform) post(ctx context.Context, action string, f taskForm) (r task.Reply, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%s task %s.%d: %w", action, f.Job, f.Index, err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	data, err := json.Marshal(f)
	if err != nil {
		return task.Reply{}, err
	}
	h, err := http.NewRequestWithContext(ctx, http.MethodPost, p.base+"/tasks/"+action, bytes.NewReader(data))
	if err != nil {
		return task.Reply{}, err
	}
	response, err := p.client.Do(h)
	if err != nil {
		return task.Reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxPlatformBytes))
	if err != nil {
		return task.Reply{}, err
	}
	if response.StatusCode == http.StatusOK {
		return task.NewReply(task.Accepted, ""), nil
	}
	return task.NewReply(task.Refused, strings.TrimSpace(string(text))), nil
}

// tasks returns the worker's tasks and their version as soon as it differs from since (long polling).
func (p *platform) tasks(ctx context.Context, since uint64) (version uint64, tasks []task.WatchedTask, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("list tasks: %w", err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, longPollTimeout)
	defer cancel()
	url := p.base + "/tasks?since=" + strconv.FormatUint(since, 10)
	h, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, err
	}
	response, err := p.client.Do(h)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var f tasksForm
	if err = json.NewDecoder(io.LimitReader(response.Body, maxPlatformBytes)).Decode(&f); err != nil {
		return 0, nil, err
	}
	tasks = make([]task.WatchedTask, len(f.Tasks))
	for i, t := range f.Tasks {
		tasks[i] = task.NewWatchedTask(t.report(), task.NewGangWatch(t.Hub, t.Members))
	}
	return f.Version, tasks, nil
}
