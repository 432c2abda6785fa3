package entry

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/request"
	"rosemarywind.example/rosemarywind/pkg/client"
)

const (
	workspacePrefix = "/w/"
	maxKeyBytes     = 255
)

// strippedHeaders are the headers that are not forwarded to endpoints: the hop-by-hop headers, and those that are meant
// for this process.
var strippedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Authorization",
	client.UrgencyHeader, client.IdempotentHeader, client.DeadlineHeader,
}

// requestHead is a caller's request without its body.
type requestHead struct {
	workspace  string
	token      string
	method     string
	target     string
	headers    request.Headers
	urgency    job.Urgency
	idempotent bool
	key        string
	timeout    time.Duration
}

// parseHead parses the request line and the headers. The message of an error is sent to the caller.
func parseHead(h *http.Request, standard, longest time.Duration) (r requestHead, err error) {
	if err = checkSingleValued(h.Header); err != nil {
		return requestHead{}, err
	}
	rest, ok := strings.CutPrefix(h.URL.EscapedPath(), workspacePrefix)
	if !ok {
		return requestHead{}, fmt.Errorf("the path must begin with %s{workspace}/", workspacePrefix)
	}
	name, path, _ := strings.Cut(rest, "/")
	r = requestHead{workspace: name, method: h.Method, target: "/" + path, key: h.Header.Get(client.KeyHeader)}
	if h.URL.RawQuery != "" {
		r.target += "?" + h.URL.RawQuery
	}
	if len(r.key) > maxKeyBytes || strings.ContainsRune(r.key, 0) {
		return requestHead{}, fmt.Errorf("%s must have at most %d bytes", client.KeyHeader, maxKeyBytes)
	}
	r.token = strings.TrimPrefix(h.Header.Get("Authorization"), "Bearer ")
	if r.urgency, err = job.ParseUrgency(h.Header.Get(client.UrgencyHeader)); err != nil {
		return requestHead{}, err
	}
	if r.idempotent, err = parseIdempotent(h); err != nil {
		return requestHead{}, err
	}
	if r.timeout, err = parseDeadline(h, standard, longest); err != nil {
		return requestHead{}, err
	}
	r.headers = endpointHeaders(h.Header)
	return r, nil
}

// checkSingleValued returns an error if a header that this process interprets is given more than once. Different
// readers could use different values of it.
func checkSingleValued(h http.Header) error {
	for _, name := range []string{
		client.KeyHeader, client.UrgencyHeader, client.IdempotentHeader, client.DeadlineHeader, "Authorization",
	} {
		if len(h.Values(name)) > 1 {
			return fmt.Errorf("%s must be given once", name)
		}
	}
	return nil
}

// request returns the request with its ID and body; its deadline counts from now.
func (r requestHead) request(id string, body []byte, now time.Time) request.Request {
	return request.New(id, r.workspace, r.method, r.target,
		request.WithBody(r.headers, body), request.WithUrgency(r.urgency), request.WithIdempotent(r.idempotent),
		request.WithKey(r.key), request.WithDeadline(now.Add(r.timeout)))
}

// parseIdempotent returns the value of the header, or whether HTTP defines the method as idempotent if there is none.
func parseIdempotent(h *http.Request) (yes bool, err error) {
	switch v := h.Header.Get(client.IdempotentHeader); v {
	case "yes":
		return true, nil
	case "no":
		return false, nil
	case "":
	default:
		return false, fmt.Errorf("%s must be yes or no, not %q", client.IdempotentHeader, v)
	}
	switch h.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true, nil
	default:
		return false, nil
	}
}

// parseDeadline returns the value of the header in milliseconds, or standard if there is none.
func parseDeadline(h *http.Request, standard, longest time.Duration) (d time.Duration, err error) {
	v := h.Header.Get(client.DeadlineHeader)
	if v == "" {
		return standard, nil
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms < 1 || ms > longest.Milliseconds() {
		return 0, fmt.Errorf("%s must be a number from 1 to %d", client.DeadlineHeader, longest.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// endpointHeaders returns the headers to forward: all but strippedHeaders and those that Connection names.
func endpointHeaders(h http.Header) request.Headers {
	kept := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range strippedHeaders {
		kept.Del(name)
	}
	return request.Headers(kept)
}
