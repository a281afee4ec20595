package allocator

import (
	"encoding/json"
	"io"
	"strconv"
	"time"

	"mothcleat/internal/controlplane/allocation"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/monotonic"
)

// RecordLine is one line of the record of a process's allocations, for tests that compare
// processes. Times are by the clock of package monotonic, the same for all processes of a machine.
type RecordLine struct {
	At            time.Duration `json:"at"`
	Member        lease.Member  `json:"member"`
	Shard         int           `json:"shard"`
	Until         time.Duration `json:"until"`       // the allocations hold
	ReservedUntil time.Duration `json:"floor_until"` // the reserved minimums hold

	// Changed tells that Allocations is all that is held from now on; else that is as before.
	Changed     bool                             `json:"changed,omitempty"`
	Allocations map[string]allocation.Allocation `json:"held,omitempty"` // by budget, hexadecimal
}

// RecordTo has each renewal recorded; nil: none is. Call it before Run.
func (c *Client) RecordTo(w io.Writer) { c.record = w }

// writeRecord writes a line. The caller holds c.mu. After an error nothing more is recorded.
func (c *Client) writeRecord(shard int, changed bool) {
	if c.record == nil {
		return
	}
	line := RecordLine{At: monotonic.Now(), Member: c.rpc.Me(), Shard: shard, Changed: changed}
	line.Until, line.ReservedUntil = c.holder.Expiry(shard)
	if changed {
		line.Allocations = map[string]allocation.Allocation{}
		for _, status := range c.holder.Status(line.At) {
			if allocation.ShardOf(status.Budget, c.shards) == shard {
				line.Allocations[strconv.FormatUint(status.Budget, 16)] = status.Allocation
			}
		}
	}
	raw, err := json.Marshal(line)
	if err == nil {
		_, err = c.record.Write(append(raw, '\n'))
	}
	if err != nil {
		c.log.Error("allocation: the record can't be written", "error", err)
		c.record = nil
	}
}
