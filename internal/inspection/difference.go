package inspection

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/declaration"
)

// value is one value of an entry in the form that operators see.
type value struct {
	name string
	text string
}

// item is an entry of a configuration with its values.
type item struct {
	entry  Entry
	values []value
}

// differences returns the differences from one draft to another; versions are not compared.
func differences(before, after Draft) (findings []Finding) {
	findings = append(findings, compare(before.queueItems(), after.queueItems())...)
	findings = append(findings, compare(before.serviceItems(), after.serviceItems())...)
	findings = append(findings, compare(before.workspaceItems(), after.workspaceItems())...)
	return append(findings, compare(before.limitItems(), after.limitItems())...)
}

// compare returns the differences between the items of one section, in the order of the later ones, then the removed.
func compare(before, after []item) (findings []Finding) {
	earlier := make(map[string]item, len(before))
	for _, b := range before {
		earlier[b.entry.name] = b
	}
	for _, a := range after {
		b, found := earlier[a.entry.name]
		delete(earlier, a.entry.name)
		if !found {
			findings = append(findings, newDifference(a.entry, "", Change{action: declaration.Added, after: a.summary()}))
			continue
		}
		for i, v := range a.values {
			if old := b.values[i].text; old != v.text {
				findings = append(findings, newDifference(a.entry, v.name, Change{action: declaration.Changed, before: old, after: v.text}))
			}
		}
	}
	for _, b := range before {
		if _, left := earlier[b.entry.name]; left {
			b.entry.index = unlisted
			findings = append(findings, newDifference(b.entry, "", Change{action: declaration.Removed, before: b.summary()}))
		}
	}
	return findings
}

// summary returns all values of an item.
func (i item) summary() string {
	texts := make([]string, len(i.values))
	for n, v := range i.values {
		texts[n] = v.name + " " + v.text
	}
	return strings.Join(texts, ", ")
}

func (d Draft) queueItems() []item {
	items := make([]item, len(d.queues))
	for i, q := range d.queues {
		b := q.queue
		items[i] = item{entry: d.queueAt(i), values: []value{
			{"host", b.Host()},
			{"prefix", b.Prefix()},
			{"service", b.Service()},
			{"priority", fmt.Sprint(b.Priority())},
			{"attempts", fmt.Sprint(b.Attempts())},
			{"slowdown", fmt.Sprint(b.Slowdown())},
			{"target latency", b.TargetLatency().String()},
			{"timeout", b.Timeout().String()},
			{"public", fmt.Sprint(b.Public())},
			{"requires advice", fmt.Sprint(b.RequiresAdvice())},
		}}
	}
	return items
}

func (d Draft) serviceItems() []item {
	items := make([]item, len(d.services))
	for i, s := range d.services {
		items[i] = item{entry: d.serviceAt(i), values: []value{
			{"enforces capacity", fmt.Sprint(s.EnforcesCapacity())}, {"standby", fmt.Sprint(s.Standby())},
		}}
	}
	return items
}

func (d Draft) workspaceItems() []item {
	items := make([]item, len(d.workspaces))
	for i, w := range d.workspaces {
		items[i] = item{entry: d.workspaceAt(i), values: []value{
			{"guaranteed", fmt.Sprint(w.Guaranteed())}, {"keys", digests(w)},
		}}
	}
	return items
}

func (d Draft) limitItems() []item {
	l := d.limits
	return []item{{entry: wholeSection(LimitsSection), values: []value{
		{"head bytes", fmt.Sprint(l.headerBytes)},
		{"body bytes", fmt.Sprint(l.bodyBytes)},
		{"header timeout", l.headerTimeout.String()},
		{"idle timeout", l.idleTimeout.String()},
	}}}
}

// digestBytes is the number of bytes of a digest that are shown, enough to tell the keys of a workspace apart.
const digestBytes = 8

// digests returns the beginnings of the digests of a workspace's keys, sorted.
func digests(w batch.Workspace) string {
	list := make([]string, len(w.Keys()))
	for i, k := range w.Keys() {
		sum := sha256.Sum256([]byte(k))
		list[i] = "sha256:" + hex.EncodeToString(sum[:digestBytes])
	}
	slices.Sort(list)
	return "[" + strings.Join(list, " ") + "]"
}
