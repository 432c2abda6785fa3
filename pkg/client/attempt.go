package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// mostAnswerBytes bounds the answer that is held in memory.
const mostAnswerBytes = 64 << 20

// message is one request, which may be sent more than once.
type message struct {
	method string
	path   string
	header http.Header
	body   []byte
}

// reply is a whole answer of a host.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// newTransport returns an HTTP client that follows no redirect, because a redirect would carry the token elsewhere.
func newTransport() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     30 * time.Second,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// attempt sends a message to one host; sent is false when the host certainly did not receive it.
func attempt(ctx context.Context, h *http.Client, o options, host string, m message) (r reply, sent bool, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%s %s%s: %w", m.method, host, m.path, err)
		}
	}()
	if o.attempt > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, o.attempt)
		defer cancel()
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, m.method, host+m.path, bytes.NewReader(m.body))
	if err != nil {
		return reply{}, false, err
	}
	request.Header = m.header.Clone()
	o.header(ctx, request.Header)
	if token := o.token(); token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := h.Do(request)
	if err != nil {
		return reply{}, connected.Load(), err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, mostAnswerBytes+1))
	if err != nil {
		return reply{}, true, err
	}
	if len(body) > mostAnswerBytes {
		return reply{}, true, fmt.Errorf("answer is larger than %d bytes", mostAnswerBytes)
	}
	return reply{status: response.StatusCode, header: response.Header, body: body}, true, nil
}

// pause waits for d; it returns false when ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// NewRequestID returns a random id for a request.
func NewRequestID() string {
	const idBytes = 16
	b := make([]byte, idBytes)
	// crypto/rand.Read never fails; it ends the process instead.
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}
