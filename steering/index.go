package steering

import "maps"

// shardCount is the number of maps in an index. A change of one entry copies
// one of them.
const shardCount = 256

// index is a map split into shards. A published index is immutable; an editor
// derives the next one, which shares the unchanged shards.
type index[K comparable, V any] struct {
	shards [shardCount]map[K]V
	hash   func(K) uint8
	length int
}

func newIndex[K comparable, V any](hash func(K) uint8) *index[K, V] {
	return &index[K, V]{hash: hash}
}

func (x *index[K, V]) get(key K) V { return x.shards[x.hash(key)][key] }

// editor makes a changed copy of an index. It is used once.
type editor[K comparable, V any] struct {
	next   *index[K, V]
	copied [shardCount]bool
}

func edit[K comparable, V any](x *index[K, V]) *editor[K, V] {
	next := *x
	return &editor[K, V]{next: &next}
}

func (e *editor[K, V]) set(key K, value V) {
	shard := e.writableShard(key)
	before := len(shard)
	shard[key] = value
	e.next.length += len(shard) - before
}

func (e *editor[K, V]) remove(key K) {
	shard := e.writableShard(key)
	before := len(shard)
	delete(shard, key)
	e.next.length += len(shard) - before
}

// writableShard returns the shard of a key, and copies the shard first if it is
// still shared.
func (e *editor[K, V]) writableShard(key K) map[K]V {
	i := e.next.hash(key)
	if !e.copied[i] {
		e.copied[i] = true
		e.next.shards[i] = maps.Clone(e.next.shards[i])
	}
	if e.next.shards[i] == nil {
		e.next.shards[i] = make(map[K]V)
	}
	return e.next.shards[i]
}
