package store

import "hash/maphash"

// node is a persistent treap: the keys written since the index last took them in,
// in order. A change copies the path to it, so a root, once given out, stays as it is
// and readers need no lock. Priorities are hashes with a seed of the process: no
// choice of keys unbalances it.
type node struct {
	key         string
	at          location
	priority    uint64
	left, right *node
}

// nodeBytes is what an entry takes beside its key, with what the paths last copied hold.
const nodeBytes = 128

var seed = maphash.MakeSeed()

func priority(key string) uint64 { return maphash.String(seed, key) }

// get finds a key.
func (n *node) get(key string) (location, bool) {
	for n != nil {
		switch {
		case key < n.key:
			n = n.left
		case key > n.key:
			n = n.right
		default:
			return n.at, true
		}
	}
	return location{}, false
}

// with gives a treap in which the key stands at a location.
func (n *node) with(key string, at location, priority uint64) *node {
	if n == nil {
		return &node{key: key, at: at, priority: priority}
	}
	c := *n
	switch {
	case key < n.key:
		c.left = n.left.with(key, at, priority)
		if l := c.left; l.priority > c.priority { // l is a copy of this change: it may be turned in place
			c.left, l.right = l.right, &c
			return l
		}
	case key > n.key:
		c.right = n.right.with(key, at, priority)
		if r := c.right; r.priority > c.priority {
			c.right, r.left = r.left, &c
			return r
		}
	default:
		c.at = at
	}
	return &c
}

// walk goes through a treap in order.
type walk struct{ path []*node }

// from begins at the first key that is not before one.
func (n *node) from(key string) *walk {
	w := &walk{}
	for n != nil {
		if n.key >= key {
			w.path = append(w.path, n)
			n = n.left
		} else {
			n = n.right
		}
	}
	return w
}

func (w *walk) next() (key []byte, at location, ok bool, err error) {
	if len(w.path) == 0 {
		return nil, location{}, false, nil
	}
	n := w.path[len(w.path)-1]
	w.path = w.path[:len(w.path)-1]
	for c := n.right; c != nil; c = c.left {
		w.path = append(w.path, c)
	}
	return []byte(n.key), n.at, true, nil
}
