package store

import "hash/maphash"

// node is a persistent treap: the keys written since the index last took them in,
// in order. A change copies the path to it, so a root, once given out, stays as it is
// and readers need no lock. Priorities are hashes with a seed of the process: no
// choice of keys unbalances it.
type node struct {
	key         string
	at          location
	priority    uint32
	epoch       uint32 // of the change that made it
	left, right *node
}

// nodeBytes is what an entry takes beside its key, with what the paths last copied hold.
const nodeBytes = 128

var seed = maphash.MakeSeed()

func priority(key string) uint32 { return uint32(maphash.String(seed, key)) }

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

// with returns a treap in which the key stands at a location, and where it stood before. Nodes of the
// same epoch were made by the same change and are nobody else's yet: they are turned in place, all
// others copied.
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
		old, had, n.at = n.at, true, at
	}
	return n, old, had
}

// treapWalker goes through a treap in order.
type treapWalker struct{ path []*node }

// from begins at the first key that is not before one.
func (n *node) from(key string) *treapWalker {
	w := &treapWalker{}
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

func (w *treapWalker) next() (key []byte, at location, ok bool, err error) {
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
