package placement

import (
	"time"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
)

type replicaKey struct{ model, target string }

// replica is one replica decision: as the replicated state lists it, or as Plan proposed it
// and the state does not show it yet.
type replica struct {
	model        *model
	target       *target
	state        coordpb.ReplicaState
	fencing      uint64
	bytes        int64     // largest configured size so far; kept, as a later configuration may not have the model
	trackedSince time.Time // when it was proposed, or first listed if another planner proposed it
	readyAt      time.Time
	loadObserved bool // this planner proposed the load, so its duration can be measured
	fromStore    bool // the load reads from the weight store
	// as of the target's last report
	running       int
	lastUsed      time.Time
	proposedAt    time.Time // zero if the replicated state shows it
	previousState coordpb.ReplicaState
}

func (r *replica) serving() bool {
	return r.state == coordpb.ReplicaState_REPLICA_STATE_READY && r.target.usable()
}

func (r *replica) loading() bool {
	return r.state == coordpb.ReplicaState_REPLICA_STATE_LOAD && r.target.usable()
}

type target struct {
	spec          config.TargetSpec
	configured    bool // it is in the current configuration
	live          bool
	leaving       bool
	running       int
	queued        int
	reportedAt    time.Time
	replicas      []*replica // sorted by model name
	usedBytes     int64      // weights of all replicas in any state
	reservedBytes int64      // reserved for models that will be loaded here
	// localRatio is the measured ratio of the time of a load from the host's own copy
	// to the full-speed time from the store; 0 before the first measurement.
	localRatio float64
}

func (t *target) usable() bool {
	return t.configured && t.live && !t.leaving && t.spec.Kind == config.KindEngine
}

func (t *target) freeBytes() int64 {
	return t.spec.WeightBytes() - t.usedBytes - t.reservedBytes
}

func (t *target) utilization() float64 {
	if t.spec.Concurrency == 0 {
		return 0
	}
	return float64(t.running+t.queued) / float64(t.spec.Concurrency)
}

type hostDemand struct {
	Demand
	reportedAt time.Time
}

type model struct {
	spec         config.ModelSpec
	configured   bool
	cached       map[string]bool
	replicas     []*replica // sorted by target name
	demandByHost map[string]hostDemand
	arrivals     arrivals
	// aggregated over demandByHost in each round
	waiting      int
	deadline     time.Time
	interactive  bool
	waitingSince time.Time // when the current uninterrupted waiting period began
	busySince    time.Time // when its replicas became busy; zero if they are not
	surplusSince time.Time // when one of its replicas became surplus; zero if none is
	wantsScaleUp bool      // busy for at least ScaleUpDelay
	// reservedTarget is the target on which memory is reserved for the model, even if
	// evictions must free it first; nil without a reservation.
	reservedTarget *target
	reservedAt     time.Time // when the reservation was made
	forecast       Forecast
}

// needsReplica reports whether a load of m should be planned: none is in progress, and either
// requests wait while no replica serves, or the replicas were busy for ScaleUpDelay.
func (m *model) needsReplica() bool {
	if !m.configured || m.loadingCount() > 0 {
		return false
	}
	return m.wantsScaleUp || m.waiting > 0 && m.servingCount() == 0
}

func (m *model) servingCount() int {
	n := 0
	for _, r := range m.replicas {
		if r.serving() {
			n++
		}
	}
	return n
}

func (m *model) loadingCount() int {
	n := 0
	for _, r := range m.replicas {
		if r.loading() {
			n++
		}
	}
	return n
}

type loadFailure struct {
	retryAt time.Time
	backoff time.Duration
}
