package placement

import "time"

// Settings are the planner's thresholds. DefaultSettings gives the values that
// docs/design/placement.md argues for.
type Settings struct {
	// DemandTTL is how long an entry host's report of waiting requests counts
	// without a newer one. Entry hosts report at least once a second; three
	// missed reports mean that the host is gone and its callers with it.
	DemandTTL time.Duration
	// ProposalTimeout is after how long a decision that the log has not shown
	// is taken as not committed. Above an election and a commit.
	ProposalTimeout time.Duration
	// MinStay is how long a replica that became ready is not evicted or
	// unloaded: about the longest load, so that it serves as long as it cost.
	MinStay time.Duration
	// EvictHorizon is the time over which the requests expected for a model are
	// weighed, before it is evicted, against those that wait for another one.
	EvictHorizon time.Duration
	// Patience is after how long a model that waits may evict all the same.
	Patience time.Duration
	// WaitPrice is how many seconds of one idle accelerator a caller's second
	// of waiting for a cold start is worth.
	WaitPrice float64
	// SustainFor is how long a model must be busy before it gets one more replica.
	SustainFor time.Duration
	// SpareFor is how long one replica less must do before it is unloaded: longer
	// than a lull between two peaks, as a replica costs a load to bring back.
	SpareFor time.Duration
	// BusyShare is the share of its targets' concurrency above which a model is busy.
	BusyShare float64
	// SpareShare is the share of the remaining concurrency below which one
	// replica less would do. Well below BusyShare, so that the number of
	// replicas does not swing.
	SpareShare float64
	// FailureBackoff is how long a target is not tried again for a model whose
	// load failed there; it doubles with each failure up to MaxFailureBackoff.
	FailureBackoff    time.Duration
	MaxFailureBackoff time.Duration
	// StuckFactor times the expected time, plus StuckMargin, is when a load
	// counts as dead.
	StuckFactor float64
	StuckMargin time.Duration
	// LearnFor is how long a new leader unloads nothing for being idle: it knows
	// of no request yet, and would empty the fleet. In this time it hears of every
	// model that is worth keeping.
	LearnFor time.Duration
	// IdleUnloadsPerRound bounds unloading of idle replicas in one round, so
	// that a wrong estimate empties the fleet slowly enough to be seen.
	IdleUnloadsPerRound int
	// LoadAhead turns loading ahead on.
	LoadAhead bool
}

// DefaultSettings returns the settings in use.
func DefaultSettings() Settings {
	return Settings{
		DemandTTL:           3 * time.Second,
		ProposalTimeout:     5 * time.Second,
		MinStay:             4 * time.Second,
		EvictHorizon:        20 * time.Second,
		Patience:            4 * time.Second,
		WaitPrice:           25,
		SustainFor:          5 * time.Second,
		SpareFor:            30 * time.Second,
		BusyShare:           0.8,
		SpareShare:          0.3,
		FailureBackoff:      5 * time.Second,
		MaxFailureBackoff:   2 * time.Minute,
		StuckFactor:         4,
		StuckMargin:         10 * time.Second,
		LearnFor:            5 * time.Minute,
		IdleUnloadsPerRound: 4,
		LoadAhead:           true,
	}
}
