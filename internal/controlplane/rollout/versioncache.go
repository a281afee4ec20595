package rollout

import (
	"slices"
	"sync"

	"mothcleat/internal/controlplane/configstate"
)

// maxCachedVersions is how many contents a process caches as records: those of overlapping
// versions, and the base of the next version. A content that was derived from another one shares
// their common records with it.
const maxCachedVersions = 3

// versionCache caches the newest contents as records. Its methods may be called concurrently; they
// block while one of them reads a file.
type versionCache struct {
	contents *Contents

	mu       sync.Mutex
	versions []*configstate.Version // the newest last
}

func newVersionCache(contents *Contents) *versionCache { return &versionCache{contents: contents} }

// read returns a content from memory or from its file. The errors are those of Contents.Read and
// configstate.Read.
func (c *versionCache) read(codec configstate.Codec, digest string) (*configstate.Version, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v := c.find(digest); v != nil {
		return v, nil
	}
	raw, err := c.contents.Read(digest)
	if err != nil {
		return nil, err
	}
	v, err := configstate.Read(codec, raw)
	if err != nil {
		return nil, err
	}
	c.add(v)
	return v, nil
}

// put caches a content whose digest was verified.
func (c *versionCache) put(v *configstate.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.find(v.Digest) == nil {
		c.add(v)
	}
}

// known reports whether a content is cached.
func (c *versionCache) known(digest string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.find(digest) != nil
}

// newest returns the digests of the cached contents, the newest first.
func (c *versionCache) newest() (digests []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range slices.Backward(c.versions) {
		digests = append(digests, v.Digest)
	}
	return digests
}

func (c *versionCache) find(digest string) *configstate.Version {
	for _, v := range c.versions {
		if v.Digest == digest {
			return v
		}
	}
	return nil
}

func (c *versionCache) add(v *configstate.Version) {
	c.versions = append(c.versions, v)
	if len(c.versions) > maxCachedVersions {
		c.versions = slices.Delete(c.versions, 0, 1)
	}
}
