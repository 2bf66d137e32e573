package routing

import "time"

// Settings are the router's thresholds. docs/design/routing.md gives the reasons for
// their values.
type Settings struct {
	// LocalBias is the extra load, as a fraction of the limit, up to which a target
	// in the entry host's own failure domain is still preferred. A hop to another
	// domain costs 1 or 2 ms, a queued request far more, so the bias is small.
	LocalBias float64
	// AffinityMaxLoad is the load, as a fraction of the limit, below which a target
	// that holds the prefix or adapter is chosen without comparison.
	AffinityMaxLoad float64
	// AffinityTTL is how long a prefix or adapter is assumed to be cached where it
	// was last used.
	AffinityTTL time.Duration
	// AffinityEntries is the maximum number of entries in the affinity table; 0
	// turns affinity off.
	AffinityEntries int
	// SlowProbeShare is the fraction of choices between two candidates that skip the
	// comparison, so that slow targets get some requests and their recovery is
	// detected.
	SlowProbeShare float64
	// SlowRatio is the ratio of a target's service time to the mean of its peers
	// above which the target counts as slow.
	SlowRatio float64
	// AffinitySlowRatio is how many times as slow as the fastest target a target may be
	// that is chosen because it holds the prefix or adapter. Above it, the prefill that the
	// cache saves is shorter than what the decode takes longer.
	AffinitySlowRatio float64
	// FailuresToOpen is the number of consecutive failures that opens a target's
	// circuit.
	FailuresToOpen int
	// OpenDuration is how long a circuit stays open the first time. It doubles with
	// each failed recovery, up to MaxOpenDuration.
	OpenDuration    time.Duration
	MaxOpenDuration time.Duration
	// RecoverySteps is the number of served requests after the open time until a
	// target gets its full share again.
	RecoverySteps int
	// CorrectionTTL is how long a correction overrides the view. The view is stale
	// by a few seconds at most.
	CorrectionTTL time.Duration
}

// DefaultSettings returns the settings that entry hosts use.
func DefaultSettings() Settings {
	return Settings{
		LocalBias:         0.1,
		AffinityMaxLoad:   0.75,
		AffinityTTL:       2 * time.Minute,
		AffinityEntries:   10_000,
		SlowProbeShare:    0.02,
		SlowRatio:         1.5,
		AffinitySlowRatio: 1.5,
		FailuresToOpen:    3,
		OpenDuration:      time.Second,
		MaxOpenDuration:   30 * time.Second,
		RecoverySteps:     8,
		CorrectionTTL:     10 * time.Second,
	}
}
