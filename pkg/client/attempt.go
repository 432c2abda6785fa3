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

// maxAnswerBytes bounds the size of an answer, since answers are held in memory.
const maxAnswerBytes = 64 << 20

// message is an HTTP request that can be sent several times and to several hosts.
type message struct {
	method string
	path   string
	header http.Header
	body   []byte
}

// reply is the complete answer of a host.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// newHTTPClient returns an HTTP client that follows no redirects, because a redirect could send the token to another
// server.
func newHTTPClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     30 * time.Second,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// attempt sends m once to one host. If sent is false, the host did not receive m.
func attempt(ctx context.Context, h *http.Client, o options, host string, m message) (r reply, sent bool, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%s %s%s: %w", m.method, host, m.path, err)
		}
	}()
	if o.attemptTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, o.attemptTimeout)
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
	o.addHeader(ctx, request.Header)
	if token := o.token(); token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := h.Do(request)
	if err != nil {
		return reply{}, connected.Load(), err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return reply{}, true, err
	}
	if len(body) > maxAnswerBytes {
		return reply{}, true, fmt.Errorf("answer is larger than %d bytes", maxAnswerBytes)
	}
	return reply{status: response.StatusCode, header: response.Header, body: body}, true, nil
}

// pause waits for d and reports whether d passed before ctx ended.
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

// NewRequestID returns a random request id of 16 bytes in hexadecimal.
func NewRequestID() string {
	const idBytes = 16
	b := make([]byte, idBytes)
	// crypto/rand.Read never returns an error; it crashes the process instead.
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}
