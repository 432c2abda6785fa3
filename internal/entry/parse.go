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

// hopHeaders are the headers that concern one connection, and those that are meant for this process.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Authorization",
	client.UrgencyHeader, client.IdempotentHeader, client.DeadlineHeader,
}

// form is a caller's request before its body is read.
type form struct {
	workspace  string
	token      string
	method     string
	target     string
	headers    request.Headers
	urgency    job.Urgency
	idempotent bool
	key        string
	deadline   time.Duration
}

func parse(h *http.Request, standard, longest time.Duration) (f form, err error) {
	if err = unambiguous(h.Header); err != nil {
		return form{}, err
	}
	rest, ok := strings.CutPrefix(h.URL.EscapedPath(), workspacePrefix)
	if !ok {
		return form{}, fmt.Errorf("the path must begin with %s{workspace}/", workspacePrefix)
	}
	name, path, _ := strings.Cut(rest, "/")
	f = form{workspace: name, method: h.Method, target: "/" + path, key: h.Header.Get(client.KeyHeader)}
	if h.URL.RawQuery != "" {
		f.target += "?" + h.URL.RawQuery
	}
	if len(f.key) > maxKeyBytes || strings.ContainsRune(f.key, 0) {
		return form{}, fmt.Errorf("%s must have at most %d bytes", client.KeyHeader, maxKeyBytes)
	}
	f.token = strings.TrimPrefix(h.Header.Get("Authorization"), "Bearer ")
	if f.urgency, err = job.ParseUrgency(h.Header.Get(client.UrgencyHeader)); err != nil {
		return form{}, err
	}
	if f.idempotent, err = idempotent(h); err != nil {
		return form{}, err
	}
	if f.deadline, err = deadline(h, standard, longest); err != nil {
		return form{}, err
	}
	f.headers = forEndpoint(h.Header)
	return f, nil
}

// unambiguous refuses a header of which two values could be read by different readers.
func unambiguous(h http.Header) error {
	for _, name := range []string{
		client.KeyHeader, client.UrgencyHeader, client.IdempotentHeader, client.DeadlineHeader, "Authorization",
	} {
		if len(h.Values(name)) > 1 {
			return fmt.Errorf("%s must be given once", name)
		}
	}
	return nil
}

func (f form) request(id string, body []byte, now time.Time) request.Request {
	return request.New(id, f.workspace, f.method, f.target,
		request.WithBody(f.headers, body), request.WithUrgency(f.urgency), request.WithIdempotent(f.idempotent),
		request.WithKey(f.key), request.WithDeadline(now.Add(f.deadline)))
}

// idempotent follows the header, else the method's definition in HTTP.
func idempotent(h *http.Request) (yes bool, err error) {
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

func deadline(h *http.Request, standard, longest time.Duration) (d time.Duration, err error) {
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

func forEndpoint(h http.Header) request.Headers {
	kept := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		kept.Del(name)
	}
	return request.Headers(kept)
}
