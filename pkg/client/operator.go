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

// Pauses between rounds over all hosts while none answers as the leader. The pause doubles up to maxPause.
const (
	initialPause = 100 * time.Millisecond
	maxPause     = time.Second
)

// Operator is a client of the control hosts. It is safe for concurrent use and sends requests to the latest leader
// first. The error of a request is a Failure, except where encoding or decoding fails.
type Operator struct {
	options options
	hosts   []string
	http    *http.Client
	leader  atomic.Pointer[string]
}

// NewOperator returns a client of the control hosts with the given base URLs. It returns an error if there are none, or
// if one is not an http or https URL.
func NewOperator(hosts []string, list ...Option) (o *Operator, err error) {
	o = &Operator{options: newOptions(defaultTimeout, defaultAttemptTimeout, list), http: newHTTPClient()}
	if o.hosts, err = parseHosts(hosts); err != nil {
		return nil, fmt.Errorf("operator client: %w", err)
	}
	return o, nil
}

// Close closes idle connections. Requests in progress continue.
func (o *Operator) Close() { o.http.CloseIdleConnections() }

// send tries all hosts in rounds until one answers as the leader or the timeout passes. Each resend keeps the request
// id, so that it has no second effect.
func (o *Operator) send(ctx context.Context, m message) (r reply, err error) {
	ctx, cancel := context.WithTimeout(ctx, o.options.timeout)
	defer cancel()
	delivered := false
	var last error
	for wait := initialPause; ; wait = min(2*wait, maxPause) {
		r, sent, err := o.tryHosts(ctx, m)
		delivered = delivered || sent
		if err == nil && delivered && !conclusive(m, r) {
			return reply{}, &Unknown{requestID: m.header.Get(RequestIDHeader), cause: refusalOf(r)}
		}
		if err == nil {
			return r, nil
		}
		// A round that the timeout cut short says nothing about the hosts, so the failure of the round before it counts.
		if last == nil || ctx.Err() == nil {
			last = err
		}
		if !pause(ctx, wait) {
			return reply{}, newDeliveryFailure(m, delivered, last)
		}
	}
}

// conclusive reports whether a leader's answer to m is that of the request although an earlier attempt may have had an
// effect. A refusal is not, since the token, the workspaces or the leader may have changed since. A conflict is: the state
// machine answers a request that had its effect as it did then.
func conclusive(m message, r reply) bool {
	return m.method == http.MethodGet || r.status < http.StatusBadRequest || r.status == http.StatusConflict
}

// tryHosts sends m to each host at most once until one answers as the leader. A leader that a follower names is tried
// next. If sent is false, no attempt without an answer can have run m.
func (o *Operator) tryHosts(ctx context.Context, m message) (r reply, sent bool, err error) {
	queue, tried := o.hostsToTry(), map[string]bool{}
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
			return r, sent, nil
		}
	}
	if err == nil {
		err = ctx.Err()
	}
	return reply{}, sent, err
}

// hostsToTry returns the hosts in the order of attempts: the latest leader first, then all hosts.
func (o *Operator) hostsToTry() []string {
	hosts := slices.Clone(o.hosts)
	if leader := o.leader.Load(); leader != nil {
		hosts = append([]string{*leader}, hosts...)
	}
	return hosts
}

// newDeliveryFailure returns the failure of a message that no host answered as the leader. It is never *Unknown for a
// GET, which has no effect.
func newDeliveryFailure(m message, delivered bool, last error) error {
	if delivered && m.method != http.MethodGet {
		return &Unknown{requestID: m.header.Get(RequestIDHeader), cause: last}
	}
	var refusal *Refusal
	if errors.As(last, &refusal) {
		return refusal
	}
	return &Unreachable{cause: last}
}

// exchange sends m and decodes the JSON answer into body. It ignores the answer if body is nil.
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
		const maxMessageBytes = 200
		return RefusalBody{Message: string(r.body[:min(len(r.body), maxMessageBytes)])}
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
