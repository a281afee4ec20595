package distribution

import (
	"bytes"
	"math/rand/v2"
	"time"

	"mothcleat/internal/controlplane/distribution"
)

// replica is one gateway: the client, its state file, and what was delivered to the gateway.
type replica struct {
	id, zone    string
	client      *distribution.Replica
	incarnation uint64
	up          bool
	// slow is set if the gateway reads slowly.
	slow bool
	// stoppedUntil is the time until which the process is suspended.
	stoppedUntil time.Duration
	file         []byte
	link         *link
	// tickNumber numbers the scheduled ticks. Only the last one counts.
	tickNumber uint64

	// delivered holds the records that the gateway has applied.
	delivered records
	position  distribution.Position
}

// startReplica starts a gateway's process with its state file.
func (w *World) startReplica(r *replica) {
	r.incarnation++
	r.up, r.stoppedUntil, r.link = true, 0, nil
	state := distribution.NewState()
	if r.file != nil {
		read, err := distribution.DecodeStateFile(fleetName, r.file)
		if err == nil {
			state = read
		} else {
			w.refused(err)
		}
	}
	r.delivered, r.position = records{}, state.Position()
	state.Range(distribution.KindServer, func(one distribution.Record) bool {
		r.delivered[one.ID] = string(one.Value)
		return true
	})
	if !state.Empty() {
		w.checkState(r, state.Position())
	}
	random := rand.New(rand.NewPCG(w.random.Uint64(), 2))
	r.client = distribution.NewReplica(replicaSettings(r.id, r.incarnation, r.zone), state, random)
	var servers []distribution.Server
	for _, s := range w.servers {
		place := distribution.Place{Zone: s.zone, Region: "south"}
		servers = append(servers, distribution.Server{ID: s.id, Address: s.id, Place: place})
	}
	r.client.SetServers(w.now, servers)
	w.driveReplica(r)
}

// killReplica ends a gateway's process.
func (w *World) killReplica(r *replica) {
	r.up = false
	r.incarnation++
	if r.link != nil {
		w.breakLink(r.link)
	}
}

// onReplica calls do for a gateway's process now, or when it resumes.
func (w *World) onReplica(r *replica, incarnation uint64, do func()) {
	switch {
	case !r.up || r.incarnation != incarnation:
	case w.now < r.stoppedUntil:
		w.at(r.stoppedUntil, func() { w.onReplica(r, incarnation, do) })
	default:
		do()
		w.driveReplica(r)
	}
}

// driveReplica carries out a client's actions, and schedules its next tick.
func (w *World) driveReplica(r *replica) {
	for _, action := range r.client.Take() {
		switch a := action.(type) {
		case distribution.Connect:
			w.connect(r, a)
		case distribution.SendRequest:
			if r.link != nil {
				w.sendUp(r.link, a.Request)
			}
		case distribution.Disconnect:
			if r.link != nil && r.link.open {
				r.link.open = false
				w.closed(r.link)
			}
			r.link = nil
		case distribution.Deliver:
			w.deliver(r, a)
		case distribution.Persist:
			r.file = distribution.EncodeStateFile(fleetName, a.State)
		case distribution.ReportError:
			w.refused(a.Err)
		}
	}
	r.tickNumber++
	number, incarnation := r.tickNumber, r.incarnation
	if next := r.client.NextTick(); next < time.Hour {
		w.at(max(next, w.now+time.Millisecond), func() {
			if r.tickNumber == number {
				w.onReplica(r, incarnation, func() { r.client.Tick(w.now) })
			}
		})
	}
}

// deliver applies changes to the gateway, and checks the result against the model.
func (w *World) deliver(r *replica, d distribution.Deliver) {
	w.result.Delivered++
	if d.Position.Compare(r.position) < 0 {
		w.breach(StaleOperations, "%s was taken back from %v to %v", r.id, r.position, d.Position)
	}
	for _, c := range d.Changes {
		if c.Deleted {
			delete(r.delivered, c.ID)
		} else {
			r.delivered[c.ID] = string(c.Value)
		}
	}
	r.position = d.Position
	w.checkState(r, d.Position)
}

// checkState compares what a gateway has with what was committed at a position.
func (w *World) checkState(r *replica, at distribution.Position) {
	l := w.lineages[at.Epoch]
	if l == nil || at.Revision > l.newest() {
		w.breach(Diverged, "%s is at %v, which was never agreed", r.id, at)
		return
	}
	want := l.states[at.Revision]
	for id, value := range want {
		if r.delivered[id] != value {
			w.breach(Diverged, "%s at %v has another %s", r.id, at, id)
		}
	}
	for id := range r.delivered {
		if _, there := want[id]; !there {
			w.breach(Diverged, "%s at %v has %s, which is gone", r.id, at, id)
		}
	}
}

// damageFile changes one byte of a state file.
func (w *World) damageFile(r *replica) {
	if len(r.file) == 0 {
		return
	}
	r.file = bytes.Clone(r.file)
	r.file[w.random.IntN(len(r.file))] ^= byte(1 + w.random.IntN(255))
}
