package rollout

import (
	"context"
	"fmt"
	"os"
	"time"

	"mothcleat/internal/controlplane/configstate"
	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/failpoint"
)

// Propose starts the roll-out of the content of a file, beginning with the given stage. lead is how
// long after the agreement the version holds. It returns the version's number. The version is agreed
// only when a majority of the voters have the content, so that it is not lost with this process.
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
	failpoint.At("propose-before-agree")
	view, err := a.View(ctx)
	if err != nil {
		return 0, err
	}
	op := configversion.Command{
		Kind:   configversion.KindPropose,
		Item:   item,
		Number: newestNumber(&view, item),
		Digest: digest,
		Size:   size,
		Stage:  stage,
		Lead:   lead,
	}
	if stage != configversion.StageAll {
		op.Pilots = configversion.Pilots(item, op.Number+1, stage, memberIDs(&list))
	}
	return a.executeNumbered(ctx, op)
}

// readProposal reads a file, checks that it can be applied as an item, and returns the canonical bytes of what it says:
// those are what travels as differences.
func (a *Agent) readProposal(item, path string) ([]byte, error) {
	known := a.items[item]
	if known == nil {
		return nil, fmt.Errorf("rollout: this program does not know what %.40q are", item)
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > configversion.MaxContentSize {
		return nil, fmt.Errorf("%s: %d bytes, %d at most", path, info.Size(), configversion.MaxContentSize)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	content, canonical, err := configstate.Canonical(known, raw)
	if err == nil {
		err = known.Check(content)
	}
	if err == nil && content.Size > configversion.MaxContentSize {
		err = fmt.Errorf("%d bytes as they would travel, %d at most", content.Size, configversion.MaxContentSize)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	a.versions.put(content)
	return canonical, nil
}

// newestNumber returns the number of an item's newest version, 1 if it has none.
func newestNumber(view *configversion.View, item string) uint64 {
	number := uint64(1)
	for _, v := range view.Versions {
		if v.Item == item {
			number = v.Number
		}
	}
	return number
}

// replicate has a majority of the voters keep a content of the given size in bytes.
func (a *Agent) replicate(ctx context.Context, list *consensus.Membership, item, digest string, size int64) error {
	me := a.client.Me()
	ask := &controlpb.KeepRequest{Item: item, Digest: digest, Size: size, From: &controlpb.Member{Id: me.ID, Incarnation: me.Incarnation}}
	results := make(chan bool, len(list.Voters))
	for _, v := range list.Voters {
		if v.Name == me.ID {
			results <- true
			continue
		}
		go func() {
			results <- a.client.Keep(ctx, v.Name, v.Address, ask) == nil
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
	return fmt.Errorf("rollout: %d of %d voters have the content, a majority is wanted",
		replicas, len(list.Voters))
}

// Execute has an operator's command about a version agreed. It returns the number of the version that
// the command made, if it made one.
func (a *Agent) Execute(ctx context.Context, op configversion.Command) (uint64, error) {
	if op.Kind == configversion.KindAdvance && op.Stage != configversion.StageAll {
		list, err := a.memberList(ctx)
		if err != nil {
			return 0, err
		}
		op.Pilots = configversion.Pilots(op.Item, op.Number, op.Stage, memberIDs(&list))
	}
	return a.executeNumbered(ctx, op)
}

func memberIDs(list *consensus.Membership) (ids []string) {
	for _, m := range list.Members {
		ids = append(ids, m.ID)
	}
	return ids
}
