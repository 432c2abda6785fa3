package board

import (
	"iter"
	"maps"

	"github.com/cespare/xxhash/v2"
)

// shardCount bounds the copy per change to 1/256 of the entries.
const shardCount = 256

// Table is an immutable map with string keys; a change copies one shard and shares the rest.
type Table[V any] struct {
	shards *[shardCount]map[string]V
	size   int
}

// NewTable returns an empty table.
func NewTable[V any]() Table[V] {
	return Table[V]{shards: &[shardCount]map[string]V{}}
}

// Collect returns a table of the entries. It is cheaper than a call of With for each, which copies a shard every time.
func Collect[V any](entries iter.Seq2[string, V]) Table[V] {
	t := NewTable[V]()
	for k, v := range entries {
		i := shardOf(k)
		if t.shards[i] == nil {
			t.shards[i] = map[string]V{}
		}
		t.shards[i][k] = v
	}
	for _, m := range t.shards {
		t.size += len(m)
	}
	return t
}

// Len returns the number of entries.
func (t Table[V]) Len() int { return t.size }

// Get returns the value of key and reports whether the table has one.
func (t Table[V]) Get(key string) (value V, ok bool) {
	value, ok = t.shards[shardOf(key)][key]
	return value, ok
}

// With returns a copy of the table in which key has the given value.
func (t Table[V]) With(key string, value V) Table[V] {
	return t.withEdit(key, func(m map[string]V) { m[key] = value })
}

// Without returns a copy of the table that does not contain key.
func (t Table[V]) Without(key string) Table[V] {
	return t.withEdit(key, func(m map[string]V) { delete(m, key) })
}

// Filter returns a table of the entries for which keep returns true; it calls keep once for each entry.
// A shard that loses entries is rebuilt, since a map does not release the memory of deleted entries.
func (t Table[V]) Filter(keep func(key string, value V) bool) Table[V] {
	shards := *t.shards
	next := Table[V]{shards: &shards}
	for i, m := range t.shards {
		var kept map[string]V
		for k, v := range m {
			if !keep(k, v) {
				continue
			}
			if kept == nil {
				kept = map[string]V{}
			}
			kept[k] = v
		}
		if len(kept) < len(m) {
			shards[i] = kept
		}
		next.size += len(kept)
	}
	return next
}

// All returns an iterator over the entries, in no particular order.
func (t Table[V]) All() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		for _, m := range t.shards {
			for k, v := range m {
				if !yield(k, v) {
					return
				}
			}
		}
	}
}

func (t Table[V]) withEdit(key string, edit func(map[string]V)) Table[V] {
	i := shardOf(key)
	shards := *t.shards
	m := maps.Clone(shards[i])
	if m == nil {
		m = make(map[string]V, 1)
	}
	before := len(m)
	edit(m)
	shards[i] = m
	return Table[V]{shards: &shards, size: t.size + len(m) - before}
}

func shardOf(key string) int {
	return int(xxhash.Sum64String(key) % shardCount)
}
