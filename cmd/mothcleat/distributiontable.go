//go:build !nofleet

package main

import (
	"encoding/json"
	"fmt"
	"io"

	"mothcleat/internal/controlplane"
	"mothcleat/internal/controlplane/distributor"
)

// showDistribution prints the position of the gateway's replica of the control state, and the lag
// of the replicas that it serves.
func showDistribution(raw []byte, w io.Writer) error {
	var d controlplane.DistributionStatus
	if err := json.Unmarshal(raw, &d); err != nil {
		return err
	}
	fmt.Fprint(w, "GATEWAY\tROLE\tEPOCH\tREVISION\tDIGEST\tSTATE\n")
	if d.Replica == nil && d.Server == nil {
		fmt.Fprintf(w, "%s\tneither: fleet.watch is off, and it is no voter\n", d.Gateway)
		return nil
	}
	if r := d.Replica; r != nil {
		fmt.Fprintf(w, "%s\treplica\t%s\t%s\n",
			d.Gateway, positionColumns(r.Position), replicaState(r))
	}
	if s := d.Server; s != nil {
		fmt.Fprintf(w, "%s\tvoter\t%s\t%d replicas, the last %d revisions behind\n",
			d.Gateway, positionColumns(s.Position), s.Replicas, s.Lag)
	}
	if d.Replica != nil {
		showReplicaCounts(d.Replica, w)
	}
	if d.Server != nil {
		showServerCounts(d.Server, w)
	}
	return nil
}

func showReplicaCounts(r *distributor.ReplicaStatus, w io.Writer) {
	c := &r.Counts
	fmt.Fprintf(w, "\nreplica: %d records, %d bytes received, %d deltas, "+
		"%d repairs with %d buckets, ", r.Records, r.ReceivedBytes, c.Deltas, c.Repairs, c.Buckets)
	fmt.Fprintf(w, "%d messages refused, %d divergences, %d servers left\n",
		c.Refused, c.Divergences, c.Disconnects)
}

func showServerCounts(s *distributor.ServerStatus, w io.Writer) {
	c := &s.Counts
	fmt.Fprintf(w, "voter: %d deltas sent (%d bytes, %d encoded), %d resyncs, "+
		"%d told to come back, ", c.Deltas, c.DeltaBytes, c.Encoded, c.Resyncs, c.Retries)
	fmt.Fprintf(w, "%d buckets, %d divergences, %d replicas ahead of it\n",
		c.Buckets, c.Divergences, c.BehindEvents)
}

func positionColumns(p distributor.Position) string {
	return fmt.Sprintf("%d\t%d\t%.16s", p.Epoch, p.Revision, p.Digest)
}

func replicaState(r *distributor.ReplicaStatus) string {
	switch {
	case r.Server == "":
		return "no voter can be reached"
	case !r.Live:
		return "it catches up from " + r.Server
	default:
		return fmt.Sprintf("current, from %s; the register was heard %s ago",
			r.Server, formatSeconds(r.SourceAge))
	}
}
