package rollout

import (
	"context"

	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/controlplane/election"
	"mothcleat/internal/failpoint"
)

// RunController advances rollouts from stage to stage until the context ends. The process that
// holds configversion.Role runs it.
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
	for _, command := range configversion.NextCommands(a.config, term, &view) {
		failpoint.At("rollout-before-commit")
		// The call does not use the role's context: a process that has lost the role must see that
		// its command is rejected because of its term.
		err := a.execute(context.WithoutCancel(ctx), command)
		if err != nil {
			a.log.Warn("fleet: versions: a command was not committed", "do", command.Kind,
				"item", command.Item, "number", command.Number, "term", command.Term, "error", err)
			continue
		}
		a.log.Info("fleet: versions: "+string(command.Kind), "item", command.Item,
			"number", command.Number, "stage", command.Stage, "why", command.Why,
			"term", command.Term)
	}
}
