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

// Len returns the number of entries.
func (t Table[V]) Len() int { return t.size }

// Get returns the value stored for key.
func (t Table[V]) Get(key string) (value V, ok bool) {
	value, ok = t.shards[shardOf(key)][key]
	return value, ok
}

// With returns a table in which key has the given value.
func (t Table[V]) With(key string, value V) Table[V] {
	return t.change(key, func(m map[string]V) { m[key] = value })
}

// Without returns a table that lacks key.
func (t Table[V]) Without(key string) Table[V] {
	return t.change(key, func(m map[string]V) { delete(m, key) })
}

// All yields every entry in no particular order.
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

func (t Table[V]) change(key string, edit func(map[string]V)) Table[V] {
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
