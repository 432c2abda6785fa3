package inspection_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/inspection"
)

// queue returns a queue of the service "s" on host "h" without findings.
func queue(name, host, prefix string) batch.Queue {
	return batch.NewQueue(name, host, prefix, "s").WithPolicy(0, 2).WithObjective(2, time.Second, 3*time.Second)
}

// parts are the lists of a draft, which a test changes.
type parts struct {
	version    int64
	queues     []inspection.Queue
	services   []batch.Service
	workspaces []batch.Workspace
	limits     inspection.Limits
}

// newParts returns the parts of a draft without findings.
func newParts() *parts {
	return &parts{
		version: 2, queues: []inspection.Queue{inspection.NewQueue(queue("q", "h", "/q/"), 2, 2)},
		services:   []batch.Service{batch.NewService("s", false, false)},
		workspaces: []batch.Workspace{batch.NewWorkspace("w", 8, "secret")},
		limits:     inspection.NewLimits(100, 200, time.Second, 2*time.Second),
	}
}

func (p *parts) draft() inspection.Draft {
	return inspection.NewDraft(p.version, p.queues, p.services, p.workspaces).WithLimits(p.limits)
}

// add appends queues that are declared with the values that they keep.
func (p *parts) add(queues ...batch.Queue) {
	for _, q := range queues {
		p.queues = append(p.queues, inspection.NewQueue(q, q.Attempts(), q.Slowdown()))
	}
}

// Guards against a configuration that the system refuses or ignores and that passes the check.
func TestErrors(t *testing.T) {
	t.Run("none", func(t *testing.T) { assert.Empty(t, check(newParts())) })
	t.Run("all at once with their places", func(t *testing.T) {
		p := newParts()
		p.version = 0
		p.add(queue("", "h", "/a/"), queue("b", "h", "/q/"))
		p.workspaces = append(p.workspaces, batch.NewWorkspace("v", 0, "secret"))
		found := check(p)
		assertFound(t, found, inspection.Error, "version", "positive")
		assertFound(t, found, inspection.Error, "queue 1 ", "has no name")
		assertFound(t, found, inspection.Error, "queue 2 b", "share host h and prefix /q/")
		assertFound(t, found, inspection.Error, "workspace 1 v", "share a key")
		assertNoSecret(t, found)
	})
	t.Run("version not higher", func(t *testing.T) {
		inForce := newParts().draft()
		found := inspection.Check(newParts().draft(), &inForce, inspection.Fleet{})
		assertOnly(t, found, inspection.Error, "version", "version 2 is not higher than version 2")
	})
	t.Run("graver kinds first", func(t *testing.T) {
		p := newParts()
		p.limits = inspection.NewLimits(2, 1, 0, 0)
		p.services = append(p.services, batch.NewService("s", false, false), batch.NewService("unused", false, false))
		found := check(p)
		assert.Equal(t, []inspection.Kind{inspection.Error, inspection.Unreachable, inspection.Contradiction}, kinds(found))
	})
}

// Guards against an entry that can never match and is not reported.
func TestUnreachable(t *testing.T) {
	for name, c := range map[string]struct{ host, prefix, part string }{
		"upper case":        {"H.example", "/a/", "lower case"},
		"port":              {"h:80", "/a/", "port"},
		"space in the host": {"h ", "/a/", "character"},
		"query":             {"h", "/a?x=", "question mark"},
		"fragment":          {"h", "/a#", "number sign"},
		"percent encoding":  {"h", "/a%2f", "percent"},
		"control character": {"h", "/a\n", "control character"},
	} {
		t.Run(name, func(t *testing.T) {
			p := newParts()
			p.add(queue("a", c.host, c.prefix))
			assertOnly(t, check(p), inspection.Unreachable, "queue 1 a", c.part)
		})
	}
	t.Run("address that requests can carry", func(t *testing.T) {
		p := newParts()
		p.add(queue("a", "a-1.b_c.example", "/A/b.c-d"), queue("b", "::1", "/"))
		assert.Empty(t, check(p))
	})
	t.Run("empty host or prefix without a slash", func(t *testing.T) {
		p := newParts()
		p.add(queue("a", "", "/a/"), queue("b", "h", "b/"))
		found := check(p)
		assertFound(t, found, inspection.Error, "queue 1 a", "no host")
		assertFound(t, found, inspection.Error, "queue 2 b", "no path prefix")
		assert.Len(t, found, 2)
	})
	t.Run("service without a queue", func(t *testing.T) {
		p := newParts()
		p.services = append(p.services, batch.NewService("spare", false, false))
		assertOnly(t, check(p), inspection.Unreachable, "service 1 spare", "no queue names")
	})
	t.Run("service on standby", func(t *testing.T) {
		p := newParts()
		p.services[0] = batch.NewService("s", false, true)
		assertOnly(t, check(p), inspection.Unreachable, "queue 0 q", "on standby")
	})
	t.Run("workspace without a key", func(t *testing.T) {
		p := newParts()
		p.workspaces = append(p.workspaces, batch.NewWorkspace("v", 0))
		assertOnly(t, check(p), inspection.Unreachable, "workspace 1 v", "has no key")
		p.add(queue("a", "h", "/a/").WithPublic(true))
		assert.Empty(t, check(p))
	})
}

// Guards against jobs that reach another queue than their caller named, since the longest prefix wins.
func TestShadowedQueues(t *testing.T) {
	t.Run("prefix that ids may begin with", func(t *testing.T) {
		p := newParts()
		p.add(queue("a", "h", "/q/5c"))
		assertOnly(t, check(p), inspection.Unreachable, "queue 0 q", `ids begin with "5c" reach queue "a"`)
	})
	t.Run("prefixes that no id begins with", func(t *testing.T) {
		p := newParts()
		p.add(queue("a", "h", "/q/x"), queue("b", "h", "/q/5/"), queue("c", "other", "/q/5c"), queue("d", "h", "/"))
		assert.Empty(t, check(p))
	})
	t.Run("nested prefixes", func(t *testing.T) {
		p := newParts()
		p.add(queue("b", "h", "/q/5c"), queue("a", "h", "/q/5"))
		found := check(p)
		assertFound(t, found, inspection.Unreachable, "queue 0 q", `"5" reach queue "a"`)
		assertFound(t, found, inspection.Unreachable, "queue 2 a", `"c" reach queue "b"`)
		assert.Len(t, found, 2)
	})
	t.Run("every id", func(t *testing.T) {
		p := newParts()
		for _, digit := range "0123456789abcdef" {
			p.add(queue(string(digit), "h", "/q/"+string(digit)))
		}
		assertFound(t, check(p), inspection.Unreachable, "queue 0 q", "take every job id")
		p.queues = p.queues[:len(p.queues)-1]
		for _, f := range check(p) {
			assert.NotContains(t, f.Message(), "take every job id")
		}
	})
}

// Guards against limits that contradict each other and are not reported.
func TestContradictions(t *testing.T) {
	t.Run("timeout below target latency", func(t *testing.T) {
		p := newParts()
		p.add(queue("a", "h", "/a/").WithObjective(1, 2*time.Second, time.Second))
		assertOnly(t, check(p), inspection.Contradiction, "queue 1 a", "timeout 1s is below target latency 2s")
	})
	t.Run("values that are raised", func(t *testing.T) {
		p := newParts()
		p.queues = append(p.queues, inspection.NewQueue(queue("a", "h", "/a/").WithPolicy(0, -1).WithObjective(1, 0, 1), -1, 0.5))
		found := check(p)
		assertFound(t, found, inspection.Contradiction, "queue 1 a", "-1 attempts are raised to 1")
		assertFound(t, found, inspection.Contradiction, "queue 1 a", "slowdown 0.5 is raised to 1")
	})
	t.Run("guarantees above the accelerators", func(t *testing.T) {
		found := inspection.Check(newParts().draft(), nil, inspection.NewFleet(7, 0))
		assertOnly(t, found, inspection.Contradiction, "workspace", "8 accelerators are guaranteed in total and the workers have 7")
		assert.Empty(t, inspection.Check(newParts().draft(), nil, inspection.NewFleet(8, 0)))
	})
	t.Run("negative guarantee", func(t *testing.T) {
		p := newParts()
		p.workspaces = append(p.workspaces, batch.NewWorkspace("v", -1, "other"))
		assertOnly(t, check(p), inspection.Contradiction, "workspace 1 v", "negative")
	})
	t.Run("empty key", func(t *testing.T) {
		p := newParts()
		p.workspaces = append(p.workspaces, batch.NewWorkspace("v", 0, ""))
		assertOnly(t, check(p), inspection.Contradiction, "workspace 1 v", "admits nobody")
	})
	t.Run("priority 0 without a guarantee", func(t *testing.T) {
		p := newParts()
		p.workspaces[0] = batch.NewWorkspace("w", 0, "secret")
		assertOnly(t, check(p), inspection.Contradiction, "queue 0 q", "no workspace has guaranteed accelerators")
	})
	t.Run("guarantee without priority 0", func(t *testing.T) {
		p := newParts()
		p.queues[0] = inspection.NewQueue(queue("q", "h", "/q/").WithPolicy(1, 2), 2, 2)
		assertOnly(t, check(p), inspection.Contradiction, "workspace", "no queue has priority 0")
	})
	t.Run("limits on messages", func(t *testing.T) {
		p := newParts()
		p.limits = inspection.NewLimits(201, 200, 3*time.Second, 2*time.Second)
		found := check(p)
		assertFound(t, found, inspection.Contradiction, "limits", "201 bytes, is above that on the body, 200 bytes")
		assertFound(t, found, inspection.Contradiction, "limits", "header timeout 3s is above idle timeout 2s")
	})
}

// Guards against a difference that is missed, and a key that is shown in clear.
func TestDifferences(t *testing.T) {
	before, after := newParts(), newParts()
	after.version = 3
	before.add(queue("old", "h", "/old/"))
	after.add(queue("new", "h", "/new/"))
	after.queues[0] = inspection.NewQueue(queue("q", "h", "/q/").WithPolicy(0, 5), 5, 2)
	after.services[0] = batch.NewService("s", true, false)
	after.workspaces[0] = batch.NewWorkspace("w", 8, "secret", "second secret")
	after.limits = inspection.NewLimits(50, 200, time.Second, 2*time.Second)
	inForce := before.draft()
	found := inspection.Check(after.draft(), &inForce, inspection.Fleet{})
	assert.Len(t, found, 6)
	assertFound(t, found, inspection.Difference, "queue 0 q", "changed attempts: 2 -> 5")
	assertFound(t, found, inspection.Difference, "queue 1 new", "added: host h, prefix /new/, service s")
	assertFound(t, found, inspection.Difference, "queue old", "removed: host h, prefix /old/, service s")
	assertFound(t, found, inspection.Difference, "service 0 s", "changed enforces capacity: false -> true")
	assertFound(t, found, inspection.Difference, "workspace 0 w", "changed keys: [sha256:2bb80d537b1da3e3] -> [sha256:")
	assertFound(t, found, inspection.Difference, "limits", "changed head bytes: 100 -> 50")
	assertNoSecret(t, found)
	t.Run("order of entries", func(t *testing.T) {
		reordered := *after
		reordered.version, reordered.queues = 4, []inspection.Queue{after.queues[1], after.queues[0]}
		inForce := after.draft()
		assert.Empty(t, inspection.Check(reordered.draft(), &inForce, inspection.Fleet{}))
	})
}

// TestGrowth guards against a comparison of each queue with each other one: for ten times the queues, a check may take
// at most 40 times as long, and a quadratic one takes about 100 times.
func TestGrowth(t *testing.T) {
	const small, factor, limit = 2000, 10, 40
	assert.Less(t, checkTime(t, factor*small), limit*checkTime(t, small))
}

// checkTime returns the shortest time of several checks of a number of queues against as many in force, half of which
// differ in their prefix.
func checkTime(t *testing.T, queues int) time.Duration {
	t.Helper()
	p, inForce := newParts(), newParts()
	for i := range queues {
		p.add(queue(fmt.Sprint("q", i), "h", fmt.Sprintf("/p%d/", i)))
		inForce.add(queue(fmt.Sprint("q", i), "h", fmt.Sprintf("/p%d/", i-i%2)))
	}
	p.version = 3
	before := inForce.draft()
	shortest := time.Hour
	for range 20 {
		begun := time.Now()
		found := inspection.Check(p.draft(), &before, inspection.Fleet{})
		shortest = min(shortest, time.Since(begun))
		assert.Len(t, found, queues/2)
	}
	return shortest
}

func check(p *parts) []inspection.Finding {
	return inspection.Check(p.draft(), nil, inspection.Fleet{})
}

func kinds(found []inspection.Finding) (list []inspection.Kind) {
	for _, f := range found {
		list = append(list, f.Kind())
	}
	return list
}

// placeText returns a place such as "queue 1 a", "queue a" or "12 defaults.task_lease".
func placeText(p inspection.Place) string {
	switch p := p.(type) {
	case inspection.Entry:
		text := string(p.Section())
		if i, ok := p.Index(); ok {
			return fmt.Sprintf("%s %d %s", text, i, p.Name())
		}
		if p.Name() != "" {
			text += " " + p.Name()
		}
		return text
	case inspection.Key:
		return fmt.Sprint(p.Line(), " ", p.Path())
	}
	return ""
}

func assertFound(t *testing.T, found []inspection.Finding, kind inspection.Kind, place, part string) {
	t.Helper()
	for _, f := range found {
		if f.Kind() == kind && placeText(f.Place()) == place && strings.Contains(f.Message(), part) {
			return
		}
	}
	assert.Fail(t, "no such finding", "%s at %q with %q in %v", kind, place, part, texts(found))
}

func assertOnly(t *testing.T, found []inspection.Finding, kind inspection.Kind, place, part string) {
	t.Helper()
	assertFound(t, found, kind, place, part)
	assert.Len(t, found, 1, "%v", texts(found))
}

// texts returns the findings with all that they show.
func texts(found []inspection.Finding) (list []string) {
	for _, f := range found {
		c, _ := f.Change()
		list = append(list, strings.Join([]string{string(f.Kind()), placeText(f.Place()), f.Message(), c.Before(), c.After()}, ", "))
	}
	return list
}

func assertNoSecret(t *testing.T, found []inspection.Finding) {
	t.Helper()
	for _, text := range texts(found) {
		assert.NotContains(t, text, "secret")
	}
}
