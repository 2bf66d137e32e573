package routing

import "time"

// Replica is one place that serves a model or a plain service.
type Replica struct {
	Target string
	// Order is the fencing number of the replica's newest order, or 0 for a
	// plain service. A correction from a refusal holds against the view until
	// the view shows a newer order.
	Order uint64
}

// View is what control has confirmed. Names of plain services are keyed with
// ServiceName, so that a service and a model of one name do not mix.
type View struct {
	Targets map[string]TargetView
	Serving map[string][]Replica // ready replicas by model, or targets by ServiceName
}

// TargetView is one target's standing.
type TargetView struct {
	FailureDomain string
	Concurrency   int
	Incarnation   string // of its agent: a new one ends what was held against the old
	Leaving       bool
}

// ServiceName is the key of a plain service in View.Serving and Request.Name.
func ServiceName(service string) string {
	return "service/" + service
}

// Request is what a choice depends on.
type Request struct {
	Name    string   // base model, or ServiceName
	Adapter string   // empty: none
	Prefix  uint64   // hash of the prompt's prefix; 0: none known
	Exclude []string // targets that already refused this request
	// Careful requests are never used to try out a target that is slow or was
	// failing: non-repeatable calls, and those with little time left.
	Careful bool
}

// Report is the load that came back with a reply.
type Report struct {
	Running int
	Queued  int
	Limit   int
	Service time.Duration // recent mean service time; 0: not known
}

// Outcome is how an attempt ended, as far as the target can be blamed.
type Outcome int

// The outcomes.
const (
	Served  Outcome = iota // the target answered
	Failed                 // the target or the way to it failed
	Neutral                // refused, cancelled, or failed for reasons of the request
)
