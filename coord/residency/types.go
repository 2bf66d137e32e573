package residency

import "time"

// TargetConfig is the configuration of a service's targets.
type TargetConfig struct {
	CapacityMb   float64 // memory for weights and adapters, in MB
	AdapterSlots int     // adapters that a target can hold at once
	Models       map[string]Model
}

// Model is the configuration of a model: memory in MB, and load times by where its weights are.
type Model struct {
	WeightsMb      float64
	AdapterMb      float64
	StoreLoadTime  time.Duration // from the weight store
	DiskLoadTime   time.Duration // from the target's own disk
	MemoryLoadTime time.Duration // from the memory of the target's host
}

// Report is the state of a target, as it reports it.
type Report struct {
	Instance        string
	StartID         string              // identifies one start of the target: some restart under the same instance id
	StartedUnixMs   int64               // the target's start time, in milliseconds since the Unix epoch; 0: not known
	Busy            bool                // a load or unload of a model is under way
	Sequence        uint64              // number of orders accepted since its start
	Models          map[string][]string // held models, each with its held adapters
	LoadingAdapters map[string][]string // adapters that are being loaded, by model
	InMemory        []string            // models with weights in the host's memory
	OnDisk          []string            // models with weights on the target's disk
	Saturated       bool                // it is saturated: it has as much work as it can run at once, or nearly
}

// Demand is the fleet-wide demand for a model.
type Demand struct {
	ValuePerSecond float64 // total value of the requests per second
	Copies         int     // targets that hold the model
	Saturated      int     // how many of these are saturated
	Wanted         int     // copies that the offered work needs, by the leader's plan; 0: not planned
}

// Waiter is a request that waits for a model or for an adapter of it.
type Waiter struct {
	ID        string
	Model     string
	Adapter   string    // empty: only the model is needed
	Value     float64   // value of serving the request
	Deadline  time.Time // end of its wait
	WillRetry bool      // if refused, its caller retries at this target
}

// Order loads or unloads a model or an adapter.
type Order struct {
	Load             bool // false: unload
	Model            string
	Adapter          string // empty: the order is on the model itself
	ExpectedSequence uint64 // the target refuses the order unless it has accepted exactly so many before
	Instance         string // the target instance that the order is for
	// Fencing grows with each start of the target, in milliseconds since the Unix epoch; 0 if start
	// times are not known. A target that has accepted an order refuses those with a lower one.
	Fencing int64
	// FromStore is true if the order loads the model For from the weight store, or makes room for
	// such a load. Both need a permit. Without a permit for the unload, the room would stay
	// unused while the load waits for its permit.
	FromStore bool
	For       string // the model that is to be loaded, also where the order is an unload
	// AddsCopy is true if the order adds, or makes room for, one more copy of a model that other
	// targets hold.
	AddsCopy bool
	Planned  bool // with AddsCopy: the copy is one that the plan wants and lacks
}

// Result is the result of an order.
type Result int

// Results of orders.
const (
	Accepted       Result = iota // carried out, or under way
	AlreadyDone                  // nothing to do: the target is in the ordered state already
	Refused                      // not carried out: the target is busy or has another sequence; may succeed later
	Rejected                     // not carried out, and never will be: the order is invalid or fenced
	OutcomeUnknown               // no answer: the target may still carry it out while its sequence is the expected one
)

// WaitResult is the outcome of a request's wait.
type WaitResult struct {
	ID         string
	Held       bool          // the target holds the model, and the adapter if one is needed
	RetryAfter time.Duration // if not held: forecast of when it can be; 0: not known
	WillLoad   bool          // the model will be loaded for the caller's retry
	Reason     string        // if not held: why, as text for the caller
}
