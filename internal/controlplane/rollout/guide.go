package rollout

import (
	"context"

	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/controlplane/election"
	"mothcleat/internal/failpoint"
)

// RunController moves roll-outs from stage to stage, until the context ends. It is run by the one process
// that holds the duty versions.Duty.
func (a *Agent) RunController(ctx context.Context, t *election.Tenure) {
	repeat(ctx, a.config.RenewInterval, func() { a.advanceRollouts(ctx, t.Term) })
}

// advanceRollouts takes one look at the agreed versions and has the commands agreed that it calls for.
func (a *Agent) advanceRollouts(ctx context.Context, term uint64) {
	queryCtx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	view, err := a.View(queryCtx)
	if err != nil {
		return
	}
	for _, op := range configversion.NextCommands(a.config, term, &view) {
		failpoint.At("guide-before-agree")
		// Not bound to the duty's context: a process that has lost the duty has to see that its
		// command is refused because of its term.
		err := a.execute(context.WithoutCancel(ctx), op)
		if err != nil {
			a.log.Warn("fleet: versions: not agreed", "do", op.Kind, "item", op.Item, "number", op.Number,
				"term", op.Term, "error", err)
			continue
		}
		a.log.Info("fleet: versions: "+string(op.Kind), "item", op.Item, "number", op.Number, "stage", op.Stage,
			"why", op.Why, "term", op.Term)
	}
}
