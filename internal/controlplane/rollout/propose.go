package rollout

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"mothcleat/internal/controlplane/configstate"
	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/failpoint"
)

// Propose starts the rollout of the content of a file at the given stage, and returns the number of
// the version. The version is effective lead after it is committed. It is committed only after a
// majority of the voters have the content, so that the content is not lost with this process.
func (a *Agent) Propose(ctx context.Context, item, path string, stage configversion.Stage,
	lead time.Duration) (uint64, error) {
	raw, err := a.readProposal(item, path)
	if err != nil {
		return 0, err
	}
	digest, err := a.contents.Add(raw)
	if err != nil {
		return 0, err
	}
	list, err := a.memberList(ctx)
	if err != nil {
		return 0, err
	}
	size := int64(len(raw))
	if err := a.replicate(ctx, &list, item, digest, size); err != nil {
		return 0, err
	}
	failpoint.At("propose-before-commit")
	view, err := a.View(ctx)
	if err != nil {
		return 0, err
	}
	command := configversion.Command{
		Kind:   configversion.KindPropose,
		Item:   item,
		Number: newestNumber(&view, item),
		Digest: digest,
		Size:   size,
		Stage:  stage,
		Lead:   lead,
	}
	if stage != configversion.StageAll {
		command.Pilots = configversion.Pilots(item, command.Number+1, stage, memberIDs(&list))
	}
	return a.executeNumbered(ctx, command)
}

// readProposal reads a file, checks that it can be applied as an item, and returns its content in
// the canonical form in which contents are distributed.
func (a *Agent) readProposal(name, path string) ([]byte, error) {
	item := a.items[name]
	if item == nil {
		return nil, fmt.Errorf("%w: this program has no item %.40q", errInvalidRequest, name)
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > configversion.MaxContentSize {
		return nil, fmt.Errorf("%s: %d bytes, %d at most", path, info.Size(),
			configversion.MaxContentSize)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	content, canonical, err := configstate.Canonical(item, raw)
	if err == nil {
		err = item.Check(content)
	}
	if err == nil && content.Size > configversion.MaxContentSize {
		err = fmt.Errorf("%d bytes in canonical form, %d at most", content.Size,
			configversion.MaxContentSize)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	a.versions.put(content)
	return canonical, nil
}

// newestNumber returns the number of the newest version of an item, 1 if it has none.
func newestNumber(view *configversion.View, item string) uint64 {
	number := uint64(1)
	for _, v := range view.Versions {
		if v.Item == item {
			number = v.Number
		}
	}
	return number
}

// errNoMajority is returned if too few voters have a content.
var errNoMajority = errors.New("rollout: a majority of the voters is needed")

// replicate has a majority of the voters store a content of the given size in bytes.
func (a *Agent) replicate(ctx context.Context, list *consensus.Membership, item, digest string,
	size int64) error {
	me := a.client.Me()
	request := &controlpb.KeepRequest{Item: item, Digest: digest, Size: size,
		From: &controlpb.Member{Id: me.ID, Incarnation: me.Incarnation}}
	results := make(chan bool, len(list.Voters))
	for _, v := range list.Voters {
		if v.Name == me.ID {
			results <- true
			continue
		}
		go func() {
			results <- a.client.Keep(ctx, v.Name, v.Address, request) == nil
		}()
	}
	replicas := 0
	for range list.Voters {
		if <-results {
			replicas++
		}
		if replicas > len(list.Voters)/2 {
			return nil
		}
	}
	return fmt.Errorf("%w: %d of %d voters have the content", errNoMajority, replicas,
		len(list.Voters))
}

// Execute commits an operator's command about a version. It returns the number of the version that
// the command created, 0 if it created none.
func (a *Agent) Execute(ctx context.Context, command configversion.Command) (uint64, error) {
	if command.Kind == configversion.KindAdvance && command.Stage != configversion.StageAll {
		list, err := a.memberList(ctx)
		if err != nil {
			return 0, err
		}
		command.Pilots = configversion.Pilots(command.Item, command.Number, command.Stage,
			memberIDs(&list))
	}
	return a.executeNumbered(ctx, command)
}

func memberIDs(list *consensus.Membership) (ids []string) {
	for _, m := range list.Members {
		ids = append(ids, m.ID)
	}
	return ids
}
