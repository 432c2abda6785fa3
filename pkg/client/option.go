package client

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"
)

// Default timeouts of requests and attempts.
const (
	defaultTimeout        = 10 * time.Second
	defaultAttemptTimeout = 3 * time.Second
	// defaultCallTimeout leaves time for the answer of an entry host, which arrives within the deadline of the call, 30
	// s by default.
	defaultCallTimeout = 35 * time.Second
)

// options is the configuration of both clients. The token is in a closure, so that formatting a client does not print
// it.
type options struct {
	token          func() string
	timeout        time.Duration
	attemptTimeout time.Duration
	addHeader      func(context.Context, http.Header)
}

// Option configures an Operator or a Caller.
type Option func(*options)

// WithToken sets the bearer token of all requests; without it, or if it is empty, they carry none.
func WithToken(token string) Option {
	return func(o *options) { o.token = func() string { return token } }
}

// WithTimeout bounds a request with all its attempts; the default is 10 s for an Operator and 35 s for a Caller.
func WithTimeout(d time.Duration) Option { return func(o *options) { o.timeout = d } }

// WithAttemptTimeout bounds each attempt at one host; the default is 3 s for an Operator and no bound for a Caller.
func WithAttemptTimeout(d time.Duration) Option { return func(o *options) { o.attemptTimeout = d } }

// WithHeader sets a function that adds headers to each attempt, such as a trace context. It must be safe for concurrent
// use.
func WithHeader(f func(context.Context, http.Header)) Option {
	return func(o *options) { o.addHeader = f }
}

func newOptions(timeout, attempt time.Duration, list []Option) options {
	o := options{timeout: timeout, attemptTimeout: attempt, token: func() string { return "" }, addHeader: func(context.Context, http.Header) {}}
	for _, set := range list {
		set(&o)
	}
	return o
}

// parseHosts checks base URLs and returns them without a trailing slash.
func parseHosts(list []string) (hosts []string, err error) {
	if len(list) == 0 {
		return nil, fmt.Errorf("no host is given")
	}
	for _, s := range list {
		u, err := url.Parse(s)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return nil, fmt.Errorf("host %q is not an http URL", s)
		}
		hosts = append(hosts, strings.TrimSuffix(s, "/"))
	}
	return hosts, nil
}

// leaderHost returns the base URL of the leader that a follower named. A URL of the form http://IP:port is used
// unchanged. For an IP:port it returns the known host with this address or, if there is none, the only known host with
// this IP. The token is never sent to an address that is neither known nor named as a URL, because another program may
// listen there.
func leaderHost(leader string, hosts []string) (host string, ok bool) {
	leader = strings.TrimSuffix(leader, "/")
	if u, err := url.Parse(leader); err == nil && u.Scheme == "http" {
		_, err = netip.ParseAddrPort(u.Host)
		return leader, err == nil && leader == "http://"+u.Host
	}
	address, err := netip.ParseAddrPort(leader)
	if err != nil {
		return "", false
	}
	var sameIP []string
	for _, h := range hosts {
		u, err := url.Parse(h)
		if err != nil {
			continue
		}
		if u.Host == leader {
			return h, true
		}
		if known, err := netip.ParseAddrPort(u.Host); err == nil && known.Addr() == address.Addr() {
			sameIP = append(sameIP, h)
		}
	}
	if len(sameIP) != 1 {
		return "", false
	}
	return sameIP[0], true
}
