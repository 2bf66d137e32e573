package placement

import "time"

// Reason says why a decision was made; it goes to the audit trail.
type Reason string

// The reasons.
const (
	ReasonDemand   Reason = "demand"         // requests wait for the model
	ReasonBusy     Reason = "sustained_load" // the replicas it has stay busy
	ReasonAhead    Reason = "ahead"          // its measured pattern says that requests come soon
	ReasonEvicted  Reason = "evicted"        // a waiting model needs the memory
	ReasonIdle     Reason = "idle"           // keeping it is worth less than the accelerator's idle time
	ReasonSurplus  Reason = "surplus"        // fewer replicas carry its load
	ReasonStuck    Reason = "stuck"          // its load took too long: the target may be dead
	ReasonLeaving  Reason = "leaving"        // its target leaves before the load ended
	ReasonWithdraw Reason = "withdrawn"      // the configuration no longer has it
)

// Decision is one change to propose to the replicated log.
type Decision struct {
	Model  string
	Target string
	Load   bool // false: unload
	Reason Reason
}

// Target is a target's standing in the fleet.
type Target struct {
	Name    string
	Live    bool // its agent renews its lease and its engine answers
	Leaving bool
}

// Report is what one agent last read from its engine.
type Report struct {
	Target  string
	Running int
	Queued  int
	Models  []ModelReport
}

// ModelReport is one loaded model in a Report.
type ModelReport struct {
	Model   string
	Running int
	Idle    time.Duration // since its last request ended; 0 while it runs one
}

// Demand is what one entry host knows of one model.
type Demand struct {
	Model            string
	Waiting          int
	EarliestDeadline time.Time // of the waiting requests; zero when none waits
	Interactive      bool      // a person waits for one of them
	Served           int64     // requests answered since the host's last report
}

// Forecast says whether and when a model can serve.
type Forecast struct {
	Possible bool
	ReadyIn  time.Duration
}
