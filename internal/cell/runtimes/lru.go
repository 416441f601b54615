package runtimes

import "iter"

// lru is a map that forgets its least recently used entries. The zero value is empty.
type lru[K comparable, V any] struct {
	entries map[K]*entry[K, V]
	root    entry[K, V] // of the ring of entries, the last used one first
	frozen  bool        // uses do not change the order of the entries
}

type entry[K comparable, V any] struct {
	key        K
	value      V
	prev, next *entry[K, V]
}

// get returns the value of key, or nil if there is none. It does not count as a use.
func (l *lru[K, V]) get(key K) *V {
	if e := l.entries[key]; e != nil {
		return &e.value
	}
	return nil
}

// use returns the value of key, or nil if there is none.
func (l *lru[K, V]) use(key K) *V {
	e := l.entries[key]
	if e == nil {
		return nil
	}
	l.moveToFront(e)
	return &e.value
}

// add returns the value of key. If there is none it adds one, which create fills in
// unless it is nil, and removes the least recently used entry beyond limit.
func (l *lru[K, V]) add(key K, limit int, create func(*V)) *V {
	if v := l.use(key); v != nil {
		return v
	}
	if l.entries == nil {
		l.entries = make(map[K]*entry[K, V])
		l.root.prev, l.root.next = &l.root, &l.root
	}
	for len(l.entries) >= limit {
		last := l.root.prev
		last.unlink()
		delete(l.entries, last.key)
	}
	e := &entry[K, V]{key: key}
	if create != nil {
		create(&e.value)
	}
	l.entries[key] = e
	l.link(e)
	return &e.value
}

func (l *lru[K, V]) moveToFront(e *entry[K, V]) {
	if l.frozen || l.root.next == e {
		return
	}
	e.unlink()
	l.link(e)
}

func (l *lru[K, V]) link(e *entry[K, V]) {
	e.prev, e.next = &l.root, l.root.next
	e.prev.next, e.next.prev = e, e
}

func (e *entry[K, V]) unlink() { e.prev.next, e.next.prev = e.next, e.prev }

// byUse iterates over the keys and values, the last used one first.
func (l *lru[K, V]) byUse() iter.Seq2[K, *V] {
	return func(yield func(K, *V) bool) {
		if l.entries == nil {
			return
		}
		for e := l.root.next; e != &l.root && yield(e.key, &e.value); e = e.next {
		}
	}
}

// all iterates over the values.
func (l *lru[K, V]) all() iter.Seq[*V] {
	return func(yield func(*V) bool) {
		for _, v := range l.byUse() {
			if !yield(v) {
				return
			}
		}
	}
}
