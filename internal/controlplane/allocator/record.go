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
// processes. Times are by the clock of package monotonic, which all processes of a machine share.
type RecordLine struct {
	At            time.Duration `json:"at"`
	Member        lease.Member  `json:"member"`
	Shard         int           `json:"shard"`
	Until         time.Duration `json:"until"`       // expiry of the allocations
	ReservedUntil time.Duration `json:"floor_until"` // expiry of the reserved minimums

	// Changed means that Allocations has all allocations from now on. If it is false, they are the
	// same as in the line before.
	Changed     bool                             `json:"changed,omitempty"`
	Allocations map[string]allocation.Allocation `json:"held,omitempty"` // by budget, hexadecimal
}

// RecordTo records each renewal to a writer; nil records none. Call it before Run.
func (c *Client) RecordTo(w io.Writer) { c.record = w }

// writeRecord writes a line to the record, and stops recording after an error. The caller holds
// c.mu.
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
