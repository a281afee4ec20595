package controlrpc

import (
	"context"
	"errors"

	"mothcleat/internal/controlplane/consensus"
)

// Members caches a part of the membership, and queries the leader only for the changes to it. Its
// methods are safe for concurrent use.
type Members struct {
	client *Client
	token  chan struct{} // holds a token while no call uses the cache
	cache  *consensus.MemberCache
}

// Members returns a cache of the part of the membership that a query selects; see
// consensus.NewMemberCache.
func (c *Client) Members(query consensus.MembershipQuery) *Members {
	m := &Members{
		client: c,
		token:  make(chan struct{}, 1),
		cache:  consensus.NewMemberCache(query),
	}
	m.token <- struct{}{}
	return m
}

// Voters returns the current voters, ordered by name.
func (m *Members) Voters(ctx context.Context) (all []consensus.VoterInfo, err error) {
	err = m.refresh(ctx, func() { all = m.cache.Voters() })
	return all, err
}

// List returns the current members, ordered by id. They share the memory of their retired
// incarnations with the cache.
func (m *Members) List(ctx context.Context) (all []consensus.MemberInfo, err error) {
	err = m.refresh(ctx, func() { all = m.cache.Members() })
	return all, err
}

// refresh updates the cache and then calls read. Other calls wait until it returns: an answer
// applies only to the state of the cache that its query named.
func (m *Members) refresh(ctx context.Context, read func()) error {
	select {
	case <-m.token:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { m.token <- struct{}{} }()
	err := m.update(ctx)
	if errors.Is(err, consensus.ErrCacheMismatch) {
		m.client.log.Warn("fleet: member cache is out of step; requesting the members again",
			"error", err)
		err = m.update(ctx)
	}
	if err == nil {
		read()
	}
	return err
}

// update queries the changes since the last update, and applies them to the cache.
func (m *Members) update(ctx context.Context) error {
	answer, err := m.client.Read(ctx, consensus.MembershipName, m.cache.Query())
	if err != nil {
		return err
	}
	return m.cache.Update(answer)
}
