package placement

import "time"

// Reason is why a decision was made. It is recorded in the audit trail.
type Reason string

// Reasons of decisions.
const (
	ReasonDemand        Reason = "demand"         // requests are waiting for the model
	ReasonSustainedLoad Reason = "sustained_load" // the model's replicas have been busy for ScaleUpDelay
	ReasonPreload       Reason = "ahead"          // the model is requested at regular intervals and the next request is due
	ReasonEvicted       Reason = "evicted"        // a model with waiting requests or one that must scale up needs the memory
	ReasonIdle          Reason = "idle"           // the expected savings in waiting time are below the cost of the memory it holds
	ReasonSurplus       Reason = "surplus"        // the model's remaining replicas can serve its load
	ReasonLoadTimeout   Reason = "stuck"          // the load exceeded its time limit; the target may have failed
	ReasonLeaving       Reason = "leaving"        // the target is leaving and the load has not finished
	ReasonNotConfigured Reason = "withdrawn"      // the model or target was removed from the configuration
)

// Decision is one load or unload to propose to the replicated log.
type Decision struct {
	Model  string
	Target string
	Load   bool // true to load, false to unload
	Reason Reason
}

// TargetStatus is the current status of a target.
type TargetStatus struct {
	Name    string
	Live    bool // its agent renews its lease and its engine responds
	Leaving bool // it is being drained and takes no new loads
}

// Report is the state of one target's engine, as its agent last read it.
type Report struct {
	Target  string
	Running int
	Queued  int
	Models  []ModelReport
}

// ModelReport is the state of one loaded model in a Report.
type ModelReport struct {
	Model   string
	Running int
	Idle    time.Duration // time since its last request ended; 0 while a request is running
}

// Demand is one entry host's report on one model.
type Demand struct {
	Model            string
	Waiting          int
	EarliestDeadline time.Time // among the waiting requests; zero if none are waiting
	Interactive      bool      // at least one waiting request is interactive
	Served           int64     // requests answered since the host's previous report
}

// Forecast is whether a model can serve requests, and in how long. ReadyIn is 0 if it can
// serve now.
type Forecast struct {
	Possible bool
	ReadyIn  time.Duration
}
