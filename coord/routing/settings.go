package routing

import "time"

// Settings are the router's thresholds; docs/design/routing.md argues for them.
type Settings struct {
	// LocalBias is how much more load, as a share of its limit, a target in the
	// entry host's own failure domain may carry and still be preferred. The way
	// to another domain costs a millisecond or two, a queued request far more,
	// so the bias is small.
	LocalBias float64
	// AffinityLoad is the share of its limit up to which a target that holds
	// the prefix or adapter is taken without comparison.
	AffinityLoad float64
	// AffinityTTL is how long a prefix is believed to be cached where it ran.
	AffinityTTL time.Duration
	// AffinityEntries bounds the table of prefixes.
	AffinityEntries int
	// TryShare is the share of choices that take a slow target all the same, so
	// that its recovery is seen.
	TryShare float64
	// SlowRatio is the ratio to its peers' time above which a target is slow.
	SlowRatio float64
	// FailuresToOpen is how many failures in a row open a target's circuit.
	FailuresToOpen int
	// OpenFor is how long a circuit stays open at first; it doubles up to MaxOpenFor.
	OpenFor    time.Duration
	MaxOpenFor time.Duration
	// ReturnSteps is how many served requests a target needs after that until
	// it gets its full share again.
	ReturnSteps int
	// CorrectionTTL bounds how long a correction stands against the view. The
	// view lags by seconds at most.
	CorrectionTTL time.Duration
}

// DefaultSettings returns the settings in use.
func DefaultSettings() Settings {
	return Settings{
		LocalBias:       0.1,
		AffinityLoad:    0.75,
		AffinityTTL:     2 * time.Minute,
		AffinityEntries: 10_000,
		TryShare:        0.02,
		SlowRatio:       1.5,
		FailuresToOpen:  3,
		OpenFor:         time.Second,
		MaxOpenFor:      30 * time.Second,
		ReturnSteps:     8,
		CorrectionTTL:   10 * time.Second,
	}
}
