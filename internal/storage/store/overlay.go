package store

import "hash/maphash"

// node is a node of a persistent treap that holds the keys written since the last sealing. A change
// copies the path to its key. A published root therefore never changes, and readers need no lock.
// Priorities are seeded hashes, so that no choice of keys can unbalance the treap.
type node struct {
	key      string
	at       location
	priority uint32
	// epoch identifies the change that created the node.
	epoch       uint32
	left, right *node
}

// nodeBytes is the approximate memory of an entry without its key, including the memory of recently
// copied paths.
const nodeBytes = 128

var seed = maphash.MakeSeed()

func priority(key string) uint32 { return uint32(maphash.String(seed, key)) }

// get returns the location of a key.
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

// with returns the root of a treap in which the key has a location, the key's old location, and
// whether the key was present. Nodes of the same epoch were created by the same change and are not
// shared yet: they are modified in place. All others are copied.
func (n *node) with(
	key string, at location, priority, epoch uint32,
) (root *node, old location, had bool) {
	if n == nil {
		return &node{key: key, at: at, priority: priority, epoch: epoch}, old, false
	}
	if n.epoch != epoch {
		c := *n
		c.epoch = epoch
		n = &c
	}
	switch {
	case key < n.key:
		n.left, old, had = n.left.with(key, at, priority, epoch)
		if l := n.left; l.priority > n.priority {
			n.left, l.right = l.right, n
			return l, old, had
		}
	case key > n.key:
		n.right, old, had = n.right.with(key, at, priority, epoch)
		if r := n.right; r.priority > n.priority {
			n.right, r.left = r.left, n
			return r, old, had
		}
	default:
		old = n.at
		had = true
		n.at = at
	}
	return n, old, had
}

// treapIterator iterates over a treap in key order.
type treapIterator struct{ path []*node }

// from returns an iterator that starts at the first key that is at or after key.
func (n *node) from(key string) *treapIterator {
	w := &treapIterator{}
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

func (w *treapIterator) next() (key []byte, at location, ok bool, err error) {
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
