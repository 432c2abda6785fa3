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

// Times that apply without an option.
const (
	defaultTimeout = 10 * time.Second
	defaultAttempt = 3 * time.Second
	// An entry host answers within a request's deadline, 30 s if none is stated.
	defaultCallTimeout = 35 * time.Second
)

// options holds what both clients need; the token is held where no printing of the client shows it.
type options struct {
	token   func() string
	timeout time.Duration
	attempt time.Duration
	header  func(context.Context, http.Header)
}

// Option changes a client.
type Option func(*options)

// WithToken sends a bearer token with each request.
func WithToken(token string) Option {
	return func(o *options) { o.token = func() string { return token } }
}

// WithTimeout bounds one request over all hosts; the default is 10 s for operators and 35 s for callers.
func WithTimeout(d time.Duration) Option { return func(o *options) { o.timeout = d } }

// WithAttemptTimeout bounds the wait for one host; the default is 3 s for operators and no bound for callers.
func WithAttemptTimeout(d time.Duration) Option { return func(o *options) { o.attempt = d } }

// WithHeader sets a function that adds to the header of each request, such as the context of a trace.
func WithHeader(f func(context.Context, http.Header)) Option {
	return func(o *options) { o.header = f }
}

func newOptions(timeout, attempt time.Duration, list []Option) options {
	o := options{timeout: timeout, attempt: attempt, token: func() string { return "" }, header: func(context.Context, http.Header) {}}
	for _, set := range list {
		set(&o)
	}
	return o
}

// parseHosts returns the base URLs without a trailing slash.
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

// leaderHost returns the base URL of the leader that a follower named: a URL is taken as it is, and
// an IP:port means the only known host with this address, or else with this IP. The token is never
// sent to an address that is neither known nor named as a URL, because something else may listen there.
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
	var near []string
	for _, h := range hosts {
		u, err := url.Parse(h)
		if err != nil {
			continue
		}
		if u.Host == leader {
			return h, true
		}
		if known, err := netip.ParseAddrPort(u.Host); err == nil && known.Addr() == address.Addr() {
			near = append(near, h)
		}
	}
	if len(near) != 1 {
		return "", false
	}
	return near[0], true
}
