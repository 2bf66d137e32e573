package routing

import "time"

// Replica is a target that serves a model or a plain service.
type Replica struct {
	Target string
	// Version is the fencing number of the replica's newest order, or 0 for a
	// plain service. A correction from a refusal overrides the view until the
	// view shows a newer order.
	Version uint64
}

// View is the state confirmed by control. Plain services are keyed by ServiceName, so
// that a service and a model of the same name do not collide.
type View struct {
	Targets map[string]TargetView
	Serving map[string][]Replica // ready replicas by model, or targets by ServiceName
}

// TargetView is the confirmed state of one target.
type TargetView struct {
	FailureDomain string
	Concurrency   int
	Incarnation   string // of its agent: a change resets the circuit and an earlier refusal as leaving
	Leaving       bool
	StartedUnixMs int64 // 0: not known
	// SoftwareVersion is the version of the target's program; empty: not known.
	SoftwareVersion string
}

// ServiceName returns the key of a plain service in View.Serving and Request.Name.
func ServiceName(service string) string {
	return "service/" + service
}

// Request holds the properties of a request that routing depends on.
type Request struct {
	Name       string   // base model, or ServiceName
	Adapter    string   // empty: none
	PrefixHash uint64   // hash of the prompt's prefix; 0: not known
	Exclude    []string // targets that already refused this request
	// Domains are the failure domains whose targets may be chosen; nil: all.
	Domains map[string]bool
	// SoftwareVersion is the version of the targets that may be chosen; empty: all.
	SoftwareVersion string
	// RunTime is how long the request is expected to run at usual speed; 0: not known. A target on
	// which it would not end before Deadline is chosen only if there is no other.
	RunTime  time.Duration
	Deadline time.Time
	// NoProbe requests are never used to probe a slow or recovering target. It is
	// set for calls that are not repeatable or are close to their deadline.
	NoProbe bool
	// HealthyOnly requests get no recovering target where no healthy one is left.
	HealthyOnly bool
	// Cost returns the cost of a target in seconds, which is then compared instead of the estimated wait.
	// nil: the estimated wait decides.
	Cost func(target string) float64
}

// allows reports whether a target may be chosen, whatever its state.
func (q Request) allows(t TargetView) bool {
	return (q.Domains == nil || q.Domains[t.FailureDomain]) && (q.SoftwareVersion == "" || q.SoftwareVersion == t.SoftwareVersion)
}

// LoadReport is the load of a target as returned with a reply.
type LoadReport struct {
	Running     int
	Queued      int
	Limit       int
	ServiceTime time.Duration // recent mean service time; 0: not known
}

// Outcome classifies the end of an attempt by what it says about the target's health.
type Outcome int

// Outcomes of an attempt.
const (
	Served  Outcome = iota // the target answered
	Failed                 // the target or the connection to it failed
	Neutral                // refused, cancelled, or failed because of the request itself
)
