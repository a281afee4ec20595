package controlrpc

import (
	"context"
	"errors"

	"mothcleat/internal/controlplane/consensus"
)

// Members caches a part of the membership, and asks the leader only for what has changed of it. Its
// methods are safe for concurrent use.
type Members struct {
	client *Client
	turn   chan struct{} // holds a token while nobody uses the cache
	cache  *consensus.MemberCache
}

// Members returns a cache of the part that a query asks for; see consensus.NewMemberCache.
func (c *Client) Members(query consensus.MembershipQuery) *Members {
	m := &Members{
		client: c,
		turn:   make(chan struct{}, 1),
		cache:  consensus.NewMemberCache(query),
	}
	m.turn <- struct{}{}
	return m
}

// Voters returns the present voters, by name.
func (m *Members) Voters(ctx context.Context) (all []consensus.VoterInfo, err error) {
	err = m.refresh(ctx, func() { all = m.cache.Voters() })
	return all, err
}

// List returns the present members, by id. They share their retired incarnations with the cache.
func (m *Members) List(ctx context.Context) (all []consensus.MemberInfo, err error) {
	err = m.refresh(ctx, func() { all = m.cache.Members() })
	return all, err
}

// refresh brings the cache up to date and has it read. Others wait meanwhile: an answer leads on
// from what its query named.
func (m *Members) refresh(ctx context.Context, read func()) error {
	select {
	case <-m.turn:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { m.turn <- struct{}{} }()
	err := m.update(ctx)
	if errors.Is(err, consensus.ErrCacheMismatch) {
		m.client.log.Warn("fleet: the list of members is requested again", "error", err)
		err = m.update(ctx)
	}
	if err == nil {
		read()
	}
	return err
}

// update queries what the cache lacks.
func (m *Members) update(ctx context.Context) error {
	answer, err := m.client.Read(ctx, consensus.MembershipName, m.cache.Query())
	if err != nil {
		return err
	}
	return m.cache.Update(answer)
}
