package rollout

import (
	"context"

	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/controlplane/election"
	"mothcleat/internal/failpoint"
)

// RunController moves rollouts from stage to stage, until the context ends. It is run by the
// process that holds configversion.Role.
func (a *Agent) RunController(ctx context.Context, t *election.Tenure) {
	repeat(ctx, a.config.RenewInterval, func() { a.advanceRollouts(ctx, t.Term) })
}

// advanceRollouts commits the commands that the rollouts in progress need now.
func (a *Agent) advanceRollouts(ctx context.Context, term uint64) {
	queryCtx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	view, err := a.View(queryCtx)
	if err != nil {
		return
	}
	for _, op := range configversion.NextCommands(a.config, term, &view) {
		failpoint.At("rollout-before-commit")
		// Not bound to the role's context: a process that has lost the role has to see that its
		// command is rejected by its term.
		err := a.execute(context.WithoutCancel(ctx), op)
		if err != nil {
			a.log.Warn("fleet: versions: a command was not committed", "do", op.Kind, "item",
				op.Item, "number", op.Number,
				"term", op.Term, "error", err)
			continue
		}
		a.log.Info("fleet: versions: "+string(op.Kind), "item", op.Item, "number", op.Number,
			"stage", op.Stage,
			"why", op.Why, "term", op.Term)
	}
}
