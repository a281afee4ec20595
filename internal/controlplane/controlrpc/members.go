package controlrpc

import (
	"context"
	"errors"

	"mothcleat/internal/controlplane/consensus"
)

// Members keeps a part of who belongs to the fleet, and asks the leader only for what has changed
// of it. Its methods may be called concurrently.
type Members struct {
	client *Client
	turn   chan struct{} // holds a token while nobody uses the cache
	cache  *consensus.MemberCache
}

// Members makes a cache of the part that a query asks for; see agree.NewMemberCache.
func (c *Client) Members(query consensus.MembershipQuery) *Members {
	m := &Members{client: c, turn: make(chan struct{}, 1), cache: consensus.NewMemberCache(query)}
	m.turn <- struct{}{}
	return m
}

// Voters returns the voters as they are agreed now, by name.
func (m *Members) Voters(ctx context.Context) (all []consensus.VoterInfo, err error) {
	err = m.refresh(ctx, func() { all = m.cache.Voters() })
	return all, err
}

// List returns the members as they are agreed now, by id. They share their retired boots with the
// cache.
func (m *Members) List(ctx context.Context) (all []consensus.MemberInfo, err error) {
	err = m.refresh(ctx, func() { all = m.cache.Members() })
	return all, err
}

// refresh brings the cache up to date and has it read. Others wait meanwhile: an answer leads on
// from what was asked with.
func (m *Members) refresh(ctx context.Context, read func()) error {
	select {
	case <-m.turn:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { m.turn <- struct{}{} }()
	err := m.ask(ctx)
	if errors.Is(err, consensus.ErrCacheMismatch) {
		m.client.log.Warn("fleet: the list of members is asked for anew", "error", err)
		err = m.ask(ctx)
	}
	if err == nil {
		read()
	}
	return err
}

func (m *Members) ask(ctx context.Context) error {
	raw, err := m.client.Read(ctx, consensus.MembershipName, m.cache.Query())
	if err != nil {
		return err
	}
	return m.cache.Update(raw)
}
