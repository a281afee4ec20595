package allocation

import (
	"fmt"
	"time"

	"mothcleat/internal/controlplane/allocation"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

// clock is the clock of one process.
type clock struct {
	pace   float64
	offset time.Duration
}

func (c clock) at(now time.Duration) time.Duration {
	return c.offset + time.Duration(float64(now)*c.pace)
}

// process is a gateway's process.
type process struct {
	clock
	me               lease.Member
	holder           *allocation.Holder
	stopped          bool
	partitioned      bool // no message from or to it arrives
	partitionedUntil time.Duration
	busy             bool // it receives many requests
	requestCount     int  // on-demand requests
	answered         map[int]bool
	killed           bool
	shutDown         bool
	// taken are units that it took or was granted and has not used yet. It may be stopped between
	// the two.
	taken []takenUnits
}

type takenUnits struct {
	budget  uint64
	units   float64
	useBy   time.Duration // by its clock
	takenAt time.Duration // when they were taken, or requested
}

// start starts a process anew, with a clock at nine tenths of the true pace up to the full one.
func (w *World) start(i int, p *process) {
	w.incarnations++
	*p = process{clock: clock{0.9 + 0.1*float64(w.draw(5))/4,
		time.Duration(w.draw(100)) * time.Second},
		me: lease.Member{ID: fmt.Sprintf("n%d", i), Incarnation: w.incarnations}}
	p.answered = map[int]bool{}
	p.holder = allocation.NewHolder(w.config, p.me, 1)
}

// request lets a process handle a client's request. It takes the units from its allocation, or
// requests them on demand.
func (w *World) request(i int) {
	p := w.members[i]
	if p.stopped || p.killed || p.shutDown {
		return
	}
	id, units := uint64(1+w.draw(len(w.limits))), float64(1+w.draw(4))
	now := p.at(w.now)
	p.holder.RecordDemand(now, id, w.limits[id], len(w.members), units)
	level := p.holder.Available(now, id)
	if level >= units {
		p.holder.Consume(now, id, units)
		p.taken = append(p.taken, takenUnits{id, units, p.holder.UseBy(now, id), now})
		w.use(id, units) // its use may come Config.UseTimeout later, which is the stated slack
		return
	}
	p.requestCount++
	w.transmit(message{
		to:            -1,
		term:          w.term,
		from:          i,
		incarnation:   p.me.Incarnation,
		sentAt:        now,
		requestNumber: p.requestCount,
		onDemand: &controlpb.OnDemandRequest{
			Role:       allocation.RoleOfShard(0),
			Member:     &controlpb.Member{Id: p.me.ID, Incarnation: p.me.Incarnation},
			Budget:     id,
			Units:      units,
			MaxMembers: uint32(len(w.members)),
			Limit:      &controlpb.Share{Rate: w.limits[id].Rate, Burst: w.limits[id].Burst},
		},
	})
}

// useTaken lets a process use the oldest units that it has taken, after a last look at its clock.
func (w *World) useTaken(i int) {
	p := w.members[i]
	if p.stopped || p.killed || len(p.taken) == 0 {
		return
	}
	h := p.taken[0]
	p.taken = p.taken[1:]
	if now := p.at(w.now); now < h.useBy && h.useBy > h.takenAt+w.config.UseTimeout {
		w.breach("late_use", "taken at %v, and used at %v", h.takenAt, now)
	}
}

// renew lets a process renew its allocations.
func (w *World) renew(i int) {
	p := w.members[i]
	if p.stopped || p.killed || p.shutDown {
		return
	}
	now := p.at(w.now)
	request := p.holder.RenewRequest(now, 0)
	w.sendRenewal(i, now, request)
}
