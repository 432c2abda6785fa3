package inspection

import (
	"math"
	"slices"
	"strings"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// addressFindings returns the queues whose host or prefix no request can carry.
func (d Draft) addressFindings() (findings []Finding) {
	for i, q := range d.queues {
		if reason := hostProblem(q.queue.Host()); reason != "" {
			findings = append(findings, findingf(Unreachable, d.queueAt(i), "no request matches host %q: %s", q.queue.Host(), reason))
		}
		if reason := prefixProblem(q.queue.Prefix()); reason != "" {
			findings = append(findings, findingf(Unreachable, d.queueAt(i), "no job id can follow prefix %q: %s", q.queue.Prefix(), reason))
		}
	}
	return findings
}

// hostProblem returns why no request matches a host, or "" if one can. A missing host is an error that the parser reports.
func hostProblem(host string) string {
	switch {
	case strings.Count(host, ":") == 1:
		return "the port is not part of the host"
	case strings.ToLower(host) != host:
		return "clients send host names in lower case, and they are compared byte by byte"
	case strings.ContainsFunc(host, func(r rune) bool { return !isHostRune(r) }):
		return "it has a character that host names do not have"
	}
	return ""
}

// isHostRune reports whether a host name in lower case or an IP address may have r.
func isHostRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || strings.ContainsRune("-._:", r)
}

// prefixProblem returns why no job id can follow a prefix, or "" if one can. A prefix without a leading slash is an error
// that the parser reports.
func prefixProblem(prefix string) string {
	switch {
	case strings.ContainsAny(prefix, "?#"):
		return "the path of a request ends before a question mark or a number sign"
	case strings.Contains(prefix, "%"):
		return "paths are compared after their percent encoding is decoded"
	case strings.ContainsFunc(prefix, func(r rune) bool { return r <= ' ' || r == 0x7f }):
		return "it has a space or a control character"
	}
	return ""
}

// hexDigits are the characters of a job id.
const hexDigits = "0123456789abcdef"

// shadowedQueues returns the queues of whose jobs some or all reach a queue with a longer prefix on the same host.
//
// The queues are sorted by address, so that those whose prefix begins with another one follow it directly; each is
// compared only with the longest such prefix.
func (d Draft) shadowedQueues() (findings []Finding) {
	order := make([]int, len(d.queues))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return compareAddresses(d.queues[a].queue, d.queues[b].queue) })
	shadowed := make([]float64, len(d.queues)) // share of the job ids
	var enclosing []int                        // queues whose prefixes begin the present one, from the shortest
	for _, i := range order {
		q := d.queues[i].queue
		for len(enclosing) > 0 && !encloses(d.queues[enclosing[len(enclosing)-1]].queue, q) {
			enclosing = enclosing[:len(enclosing)-1]
		}
		if len(enclosing) > 0 {
			outer := enclosing[len(enclosing)-1]
			rest := strings.TrimPrefix(q.Prefix(), d.queues[outer].queue.Prefix())
			if rest != "" && strings.Trim(rest, hexDigits) == "" {
				shadowed[outer] += math.Pow(float64(len(hexDigits)), -float64(len(rest)))
				findings = append(findings, findingf(Unreachable, d.queueAt(outer),
					"jobs whose ids begin with %q reach queue %q at the longer prefix %s", rest, q.Name(), q.Prefix()))
			}
		}
		enclosing = append(enclosing, i)
	}
	for i, share := range shadowed {
		if share == 1 {
			findings = append(findings, findingf(Unreachable, d.queueAt(i), "queues with longer prefixes take every job id"))
		}
	}
	return findings
}

func compareAddresses(a, b batch.Queue) int {
	if c := strings.Compare(a.Host(), b.Host()); c != 0 {
		return c
	}
	return strings.Compare(a.Prefix(), b.Prefix())
}

// encloses reports whether each path of inner begins with the prefix of outer.
func encloses(outer, inner batch.Queue) bool {
	return outer.Host() == inner.Host() && strings.HasPrefix(inner.Prefix(), outer.Prefix())
}
