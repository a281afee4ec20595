package authz

// entry is a cached answer. Entries form a ring in the order of their last use.
type entry struct {
	key        Key
	verdict    Verdict
	expires    Time
	staleUntil Time // until then an Allow may be used while it is revalidated
	prev, next *entry
}

// cache holds a bounded number of answers; the least recently used one is evicted first.
type cache struct {
	entries map[Key]*entry
	ring    entry // the list head; its next is the most recently used entry
}

func newCache() *cache {
	c := &cache{}
	c.clear()
	return c
}

func (c *cache) clear() {
	c.entries = map[Key]*entry{}
	c.ring.prev = &c.ring
	c.ring.next = &c.ring
}

// get returns a key's entry and marks it as the most recently used. It returns nil if there is
// none.
func (c *cache) get(key Key) *entry {
	e := c.entries[key]
	if e != nil && c.ring.next != e {
		e.unlink()
		c.link(e)
	}
	return e
}

// put returns a key's entry for the caller to fill in, and adds it if there is none. An added entry
// becomes the most recently used.
func (c *cache) put(key Key, limit int) *entry {
	if e := c.entries[key]; e != nil {
		return e
	}
	c.shrink(limit - 1)
	e := &entry{key: key}
	c.entries[key] = e
	c.link(e)
	return e
}

// shrink evicts entries until at most limit are left.
func (c *cache) shrink(limit int) {
	for len(c.entries) > limit {
		c.remove(c.ring.prev.key)
	}
}

// remove removes a key's entry, if there is one.
func (c *cache) remove(key Key) {
	if e := c.entries[key]; e != nil {
		e.unlink()
		delete(c.entries, key)
	}
}

func (c *cache) link(e *entry) {
	e.prev = &c.ring
	e.next = c.ring.next
	e.prev.next = e
	e.next.prev = e
}

func (e *entry) unlink() {
	e.prev.next = e.next
	e.next.prev = e.prev
}
