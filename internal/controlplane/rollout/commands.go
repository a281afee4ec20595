package rollout

import (
	"context"
	"encoding/json"
	"time"

	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/controlplane/consensus"
)

// RejectedError is returned for a command that the state machine rejected.
type RejectedError struct{ Why string }

// Error returns why the command was rejected.
func (e *RejectedError) Error() string { return e.Why }

// View returns the committed state of all versions.
func (a *Agent) View(ctx context.Context) (view configversion.View, err error) {
	raw, err := a.client.Read(ctx, configversion.MachineName, nil)
	if err == nil {
		err = json.Unmarshal(raw, &view)
	}
	return view, err
}

// membersOf returns the members with the given ids.
func (a *Agent) membersOf(ctx context.Context, ids ...string) ([]consensus.MemberInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return a.client.Members(consensus.MembershipQuery{Scope: consensus.ScopeMembers,
		IDs: ids}).List(ctx)
}

// memberList returns all members and voters of the fleet. Only operators' commands need all of
// them.
func (a *Agent) memberList(ctx context.Context) (list consensus.Membership, err error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	raw, err := a.client.Read(ctx, consensus.MembershipName, nil)
	if err == nil {
		err = json.Unmarshal(raw, &list)
	}
	return list, err
}

// execute commits a command.
func (a *Agent) execute(ctx context.Context, command configversion.Command) error {
	_, err := a.executeNumbered(ctx, command)
	return err
}

// executeNumbered commits a command and returns the number in its result. The error is a
// *RejectedError if the state machine rejected the command. After any other error the outcome is
// unknown.
func (a *Agent) executeNumbered(
	ctx context.Context, command configversion.Command,
) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	command.WallTime = time.Now().UnixMicro()
	raw, err := a.client.Propose(ctx, configversion.MachineName, command.Encode())
	if err != nil {
		return 0, err
	}
	var result configversion.Result
	if err := json.Unmarshal(raw, &result); err != nil {
		return 0, err
	}
	if !result.OK {
		return result.Number, &RejectedError{result.Why}
	}
	return result.Number, nil
}
