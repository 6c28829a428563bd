package steering

import "maps"

// shards is how many maps an index is made of: a change copies one of them.
const shards = 256

// index is a map in shards. A published index is immutable; an editor makes
// the next one, which shares the shards that did not change.
type index[K comparable, V any] struct {
	shard  [shards]map[K]V
	hash   func(K) uint8
	length int
}

func newIndex[K comparable, V any](hash func(K) uint8) *index[K, V] {
	return &index[K, V]{hash: hash}
}

func (x *index[K, V]) get(key K) V { return x.shard[x.hash(key)][key] }

// editor makes a changed copy of an index. It is used once.
type editor[K comparable, V any] struct {
	next  *index[K, V]
	owned [shards]bool
}

func edit[K comparable, V any](x *index[K, V]) *editor[K, V] {
	next := *x
	return &editor[K, V]{next: &next}
}

func (e *editor[K, V]) set(key K, value V) {
	shard := e.own(key)
	before := len(shard)
	shard[key] = value
	e.next.length += len(shard) - before
}

func (e *editor[K, V]) remove(key K) {
	shard := e.own(key)
	before := len(shard)
	delete(shard, key)
	e.next.length += len(shard) - before
}

// own returns the key's shard, copied when it is still shared.
func (e *editor[K, V]) own(key K) map[K]V {
	i := e.next.hash(key)
	if !e.owned[i] {
		e.owned[i] = true
		e.next.shard[i] = maps.Clone(e.next.shard[i])
	}
	if e.next.shard[i] == nil {
		e.next.shard[i] = make(map[K]V)
	}
	return e.next.shard[i]
}
