package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// Pauses between rounds over all hosts while none of them leads.
const (
	firstPause = 100 * time.Millisecond
	mostPause  = time.Second
)

// Operator sends operators' requests to the control hosts.
type Operator struct {
	options options
	hosts   []string
	http    *http.Client
	leader  atomic.Pointer[string]
}

// NewOperator returns a client of the control hosts with the given base URLs.
func NewOperator(hosts []string, list ...Option) (o *Operator, err error) {
	o = &Operator{options: newOptions(defaultTimeout, defaultAttempt, list), http: newTransport()}
	if o.hosts, err = parseHosts(hosts); err != nil {
		return nil, fmt.Errorf("operator client: %w", err)
	}
	return o, nil
}

// Close closes the idle connections.
func (o *Operator) Close() { o.http.CloseIdleConnections() }

// send gives a message to the leader in rounds over all hosts until one answers or the time is over.
// Each resend keeps the request id, so that it has no second effect.
func (o *Operator) send(ctx context.Context, m message) (r reply, err error) {
	ctx, cancel := context.WithTimeout(ctx, o.options.timeout)
	defer cancel()
	delivered := false
	for wait := firstPause; ; wait = min(2*wait, mostPause) {
		r, sent, err := o.round(ctx, m)
		if err == nil {
			return r, nil
		}
		delivered = delivered || sent
		if !pause(ctx, wait) {
			return reply{}, lost(m, delivered, err)
		}
	}
}

// round tries each host once and a leader that a follower names next; sent is false when no host took the message.
func (o *Operator) round(ctx context.Context, m message) (r reply, sent bool, err error) {
	queue, tried := o.order(), map[string]bool{}
	for len(queue) > 0 && ctx.Err() == nil {
		host := queue[0]
		queue = queue[1:]
		if tried[host] {
			continue
		}
		tried[host] = true
		r, delivered, e := attempt(ctx, o.http, o.options, host, m)
		if e != nil {
			sent, err = sent || delivered, e
			continue
		}
		switch b := parseRefusal(r); r.status {
		case http.StatusMisdirectedRequest:
			err = refusalOf(r)
			if leader, ok := leaderHost(b.Leader, o.hosts); ok {
				queue = append([]string{leader}, queue...)
			}
		case http.StatusServiceUnavailable:
			err = refusalOf(r)
			sent = sent || b.Outcome == string(outcome.MayHaveRun)
		default:
			o.leader.Store(&host)
			return r, true, nil
		}
	}
	if err == nil {
		err = ctx.Err()
	}
	return reply{}, sent, err
}

// order returns the hosts to try, the latest leader first.
func (o *Operator) order() []string {
	hosts := slices.Clone(o.hosts)
	if leader := o.leader.Load(); leader != nil {
		hosts = append([]string{*leader}, hosts...)
	}
	return hosts
}

// lost returns the failure of a message that no host answered; a message without an effect is never unknown.
func lost(m message, delivered bool, last error) error {
	if delivered && m.method != http.MethodGet {
		return &Unknown{requestID: m.header.Get(RequestIDHeader), cause: last}
	}
	var refusal *Refusal
	if errors.As(last, &refusal) {
		return refusal
	}
	return &Unreachable{cause: last}
}

// exchange sends a message and decodes the JSON answer into body; a nil body ignores the answer.
func (o *Operator) exchange(ctx context.Context, m message, body any) (err error) {
	r, err := o.send(ctx, m)
	if err != nil {
		return err
	}
	if r.status < 200 || r.status > 299 {
		return refusalOf(r)
	}
	if body == nil || len(r.body) == 0 {
		return nil
	}
	if err = json.Unmarshal(r.body, body); err != nil {
		return fmt.Errorf("decode answer to %s %s: %w", m.method, m.path, err)
	}
	return nil
}

func newMessage(method, path, contentType, requestID string, body []byte) message {
	h := http.Header{}
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	if method != http.MethodGet {
		if requestID == "" {
			requestID = NewRequestID()
		}
		h.Set(RequestIDHeader, requestID)
	}
	return message{method: method, path: path, header: h, body: body}
}

func parseRefusal(r reply) (b RefusalBody) {
	if r.status >= 200 && r.status <= 299 {
		return b
	}
	if err := json.Unmarshal(r.body, &b); err != nil {
		const mostBytes = 200
		return RefusalBody{Message: string(r.body[:min(len(r.body), mostBytes)])}
	}
	return b
}

func refusalOf(r reply) error {
	b := parseRefusal(r)
	if r.status == http.StatusConflict && b.Reason == ConflictReason {
		return &Conflict{revision: b.Revision, message: b.Message}
	}
	return &Refusal{status: r.status, body: b}
}
