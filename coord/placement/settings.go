package placement

import "time"

// Settings are the planner's thresholds. docs/design/placement.md explains the values
// that DefaultSettings returns.
type Settings struct {
	// DemandTTL is how long an entry host's report of waiting requests is valid.
	// Entry hosts report at least once a second; after three missed reports the
	// host, and the connections of its callers, are considered lost.
	DemandTTL time.Duration
	// ProposalTimeout is how long a proposed decision may be missing from the
	// replicated state before it is treated as not committed. It must exceed the
	// time of an election plus a commit.
	ProposalTimeout time.Duration
	// MinResidency is how long a replica is protected from eviction and unloading
	// after it became ready. It is about the longest load time, so that a replica
	// can serve for at least as long as it took to load.
	MinResidency time.Duration
	// EvictionHorizon is the period over which the requests expected for a model
	// are compared with the requests waiting for the model that would replace it.
	EvictionHorizon time.Duration
	// MaxEvictionDelay is how long a waiting model's eviction can be deferred in
	// favor of models with more expected requests.
	MaxEvictionDelay time.Duration
	// WaitCostRatio is the cost of one second that a caller waits for a cold start,
	// in seconds of one idle accelerator.
	WaitCostRatio float64
	// ScaleUpDelay is how long a model must be busy before it gets another replica.
	ScaleUpDelay time.Duration
	// ScaleDownDelay is how long a replica must be surplus before it is unloaded.
	// It is longer than the gap between two peaks, because restoring the replica
	// takes a load.
	ScaleDownDelay time.Duration
	// ScaleUpUtilization is the share of its targets' concurrency in use above which
	// a model is busy.
	ScaleUpUtilization float64
	// ScaleDownUtilization is the share of the concurrency that would remain with
	// one replica fewer, below which one replica is surplus. It is well below
	// ScaleUpUtilization, so that the number of replicas does not oscillate.
	ScaleDownUtilization float64
	// FailureBackoff is the delay before a model is loaded again on a target where
	// its load failed. It doubles with each failure, up to MaxFailureBackoff.
	FailureBackoff    time.Duration
	MaxFailureBackoff time.Duration
	// A load times out after LoadTimeoutFactor times its expected duration plus
	// LoadTimeoutMargin.
	LoadTimeoutFactor float64
	LoadTimeoutMargin time.Duration
	// IdleUnloadGrace is how long a new leader unloads no idle replica. It starts
	// without request rates, so every model would look unused. The period is long
	// enough to receive requests for every model that is worth keeping.
	IdleUnloadGrace time.Duration
	// IdleUnloadsPerRound limits how many idle replicas one round unloads, so that
	// operators can notice a wrong estimate before the fleet is empty.
	IdleUnloadsPerRound int
	// Preload enables loading a model before its next expected request.
	Preload bool
}

// DefaultSettings returns the settings used in production.
func DefaultSettings() Settings {
	return Settings{
		DemandTTL:            3 * time.Second,
		ProposalTimeout:      5 * time.Second,
		MinResidency:         4 * time.Second,
		EvictionHorizon:      20 * time.Second,
		MaxEvictionDelay:     4 * time.Second,
		WaitCostRatio:        25,
		ScaleUpDelay:         5 * time.Second,
		ScaleDownDelay:       30 * time.Second,
		ScaleUpUtilization:   0.8,
		ScaleDownUtilization: 0.3,
		FailureBackoff:       5 * time.Second,
		MaxFailureBackoff:    2 * time.Minute,
		LoadTimeoutFactor:    4,
		LoadTimeoutMargin:    10 * time.Second,
		IdleUnloadGrace:      5 * time.Minute,
		IdleUnloadsPerRound:  4,
		Preload:              true,
	}
}
