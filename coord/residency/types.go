package residency

import "time"

// Engine is what the configuration says about a service's targets.
type Engine struct {
	WeightsMb     float64 // room for weights and adapters
	AdapterPlaces int
	Models        map[string]Model
}

// Model is a model as the configuration describes it.
type Model struct {
	WeightsMb float64
	AdapterMb float64
	FromStore time.Duration // to load it from the weight store
	FromDisk  time.Duration
	FromHost  time.Duration // from the target's own memory
}

// Report is what the target says of itself.
type Report struct {
	Instance string
	Start    string              // names one start of the target: some start again under the same id
	Busy     bool                // an order on a model is being carried out
	Sequence uint64              // orders accepted since its start
	Models   map[string][]string // adapters by model that it holds
	Coming   map[string][]string // adapters by model on their way
	InMemory []string
	OnDisk   []string
	Pressed  bool // it has more work than it runs at once, or nearly
}

// Demand is what the fleet's callers ask of a model.
type Demand struct {
	WorthPerSecond float64
	Copies         int // targets that hold it
	Pressed        int // of these, how many have more work than they run at once
}

// Want is a request that waits for a model, or an adapter of it.
type Want struct {
	ID      string
	Model   string
	Adapter string // empty: the model alone
	Worth   float64
	Until   time.Time // the longest that it waits
	Retries bool      // where it is refused, its caller retries here
}

// Order is a change of what the target holds.
type Order struct {
	Load     bool
	Model    string
	Adapter  string
	After    uint64 // sequence that the target must have
	Instance string
	// Store says that a load from the weight store, of the model For, is the reason:
	// it needs a permit first. An unload that makes way for one needs it too, or the
	// room would stand empty while the load waits for its permit.
	Store bool
	For   string
	// Grow says that the order makes one more copy of a model that others hold.
	Grow bool
}

// Result is what became of an order.
type Result int

// The results.
const (
	Accepted Result = iota // being carried out, or carried out
	Holds                  // nothing to do
	Refused                // not carried out: the target was busy or has another sequence
	Rejected               // never will be
	Unknown                // no answer: it may be carried out while its sequence holds
)

// Verdict is the final word on a want.
type Verdict struct {
	ID         string
	Held       bool
	RetryAfter time.Duration // where it is not held: when it can be; 0: not known
	Expected   bool          // it will be loaded for the retry
	Reason     string
}
