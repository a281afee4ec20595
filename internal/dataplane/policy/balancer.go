package policy

import (
	"math/rand/v2"
)

// The tokens of the timers that a Balancer sets.
const (
	gossipTimer   uint32 = iota // periodic work
	decisionTimer               // a request's wait for units may be over
)

// sweepInterval is how often idle customers are dropped.
const sweepInterval = second

// Balancer makes one gateway's decisions. It is not safe for concurrent use.
type Balancer struct {
	settings        Settings
	configuredPlans []Plan // as passed to New, before any UpdatePlans
	actions         Actions
	onReject        func(id uint64, reason RejectReason) // may be nil
	rand            *rand.Rand

	clock
	snapshotState
	customerTable
	spareCapacity
	gossipState
	endpointTable
	saturationState
	attemptTable

	allocations Allocations // nil: quotas are shared by gossip or through the counter
	sharesUsage bool        // gateways inform each other of their use
}

// New returns a Balancer without any state from earlier incarnations. The error is a
// *SettingsError.
func New(settings Settings, seed uint64, actions Actions) (*Balancer, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	lb := &Balancer{
		settings:        settings,
		configuredPlans: settings.Plans,
		actions:         actions,
		rand:            rand.New(rand.NewPCG(seed, seed>>32)),
		sharesUsage:     settings.Gateways > 1 && (settings.Peers || settings.Counter),
		snapshotState:   snapshotState{settingsSum: settings.checksum()},
		customerTable:   customerTable{customers: map[uint64]*customer{}},
		spareCapacity:   newSpareCapacity(settings.Plans),
		gossipState:     newGossipState(&settings, uint32(seed>>32)^uint32(seed)),
		endpointTable:   endpointTable{backendByID: map[uint32]*backend{}},
		saturationState: newSaturationState(&settings),
		attemptTable:    newAttemptTable(&settings),
	}
	return lb, nil
}

// Timer handles a timer that was set with SetTimer.
func (lb *Balancer) Timer(now Time, token uint32) {
	lb.advanceClock(now)
	if token != gossipTimer {
		lb.decideAwaiting(nil, grantEntry{})
		return
	}
	lb.scheduleTimer()
	if now-lb.lastSweep >= sweepInterval {
		lb.sweepIdleCustomers()
	}
	lb.gossip()
	lb.probeUnhealthy()
	lb.pollEndpoints()
}
