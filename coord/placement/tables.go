package placement

import (
	"time"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
)

type replicaKey struct{ model, target string }

// replica is one decision as the planner sees it: what the log shows, or what
// Plan proposed and the log has not shown yet.
type replica struct {
	model   *model
	target  *target
	state   coordpb.ReplicaState
	fencing uint64
	bytes   int64 // as decided; a later configuration may not name the model
	since   time.Time
	ready   time.Time
	seen    bool // the planner saw the load begin: its time can be measured
	fetched bool // it counts as a load from the store
	// remaining at the last report
	running  int
	lastUsed time.Time
	proposed time.Time // zero: the log shows it
	before   coordpb.ReplicaState
}

func (r *replica) serving() bool {
	return r.state == coordpb.ReplicaState_REPLICA_STATE_READY && r.target.usable()
}

func (r *replica) loading() bool {
	return r.state == coordpb.ReplicaState_REPLICA_STATE_LOAD && r.target.usable()
}

type target struct {
	spec     config.TargetSpec
	known    bool // the configuration names it
	live     bool
	leaving  bool
	running  int
	queued   int
	reported time.Time
	replicas []*replica // in order of model
	used     int64      // weights of all replicas, whatever their state
	promised int64      // kept free for a model that waits for evictions here
	// local is the measured ratio of a load here from the host's own copy to
	// the time from the store; 0: none measured.
	local float64
}

func (t *target) usable() bool {
	return t.known && t.live && !t.leaving && t.spec.Kind == config.KindEngine
}

func (t *target) free() int64 {
	return t.spec.WeightBytes() - t.used - t.promised
}

func (t *target) busyShare() float64 {
	if t.spec.Concurrency == 0 {
		return 0
	}
	return float64(t.running+t.queued) / float64(t.spec.Concurrency)
}

type hostDemand struct {
	Demand
	at time.Time
}

type model struct {
	spec     config.ModelSpec
	known    bool
	cached   map[string]bool
	replicas []*replica // in order of target
	hosts    map[string]hostDemand
	arrivals arrivals
	// summed over hosts at each round
	waiting     int
	deadline    time.Time
	interactive bool
	waitingFrom time.Time // since when requests wait without a break
	busyFrom    time.Time // since when its replicas are busy without a break
	spareFrom   time.Time
	wantsMore   bool // busy for so long that one more replica is worth it
	// keptOn is the target on which memory is kept, or being freed, for it.
	keptOn   *target
	keptFrom time.Time // since when
	forecast Forecast
}

// needsReplica reports whether requests wait for a load of m, or its replicas
// have been busy for long.
func (m *model) needsReplica() bool {
	if !m.known || m.loadingCount() > 0 {
		return false
	}
	return m.wantsMore || m.waiting > 0 && m.servingCount() == 0
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

type failure struct {
	until time.Time
	wait  time.Duration
}
