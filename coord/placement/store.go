package placement

import (
	"time"

	"cowsliptiller/coord/config"
)

// storeScheduler limits loads from the shared weight store.
//
// Load pattern: a burst of first requests for many models.
// Without it: all targets load at once and share the store's bandwidth; urgent loads end late too.
// Rule: at most slots loads at once, which the store serves at full speed, most urgent first;
// and at most n = floor(rate), at least 1, starts in any n/rate seconds.
//
// The starts are counted over a sliding window. A token bucket of depth rate would admit up to
// twice the rate within one second; a bucket of depth 1 would delay the second load of a burst
// without need.
type storeScheduler struct {
	starts []time.Time // the last n starts; the oldest is at head
	head   int
	window time.Duration
	slots  int
	// slowdown is the moving average of the ratio of a load's time to its time at full
	// speed, at least 1. Forecasts use it, so that they stay accurate when the store is slow.
	slowdown float64
	// localRatio is the fleet-wide moving average of the ratio of the time of a load from a
	// host's own copy to the full-speed time from the store; 0 before the first measurement.
	localRatio float64
}

// loadRatioWeight is the weight of a new measurement in the moving averages of load-time
// ratios: about the last five loads count.
const loadRatioWeight = 0.2

func (s *storeScheduler) configure(l config.StoreLimits, now time.Time) {
	n := max(1, int(l.LoadsPerSecond))
	s.window = time.Duration(float64(n) / l.LoadsPerSecond * float64(time.Second))
	s.slots = l.FullSpeedLoads
	if s.slowdown == 0 {
		s.slowdown = 1
	}
	if len(s.starts) == n {
		return
	}
	// A new planner does not have its predecessor's starts within the last window,
	// so it assumes that the window is full.
	s.starts = make([]time.Time, n)
	for i := range s.starts {
		s.starts[i] = now
	}
	s.head = 0
}

// nextStart returns the earliest time at which another load may start.
func (s *storeScheduler) nextStart() time.Time {
	return s.starts[s.head].Add(s.window)
}

func (s *storeScheduler) canStart(now time.Time) bool {
	return !now.Before(s.nextStart())
}

func (s *storeScheduler) recordStart(now time.Time) {
	s.starts[s.head] = now
	s.head = (s.head + 1) % len(s.starts)
}

// recordLocalLoad records the measured ratio of a load of a cached checkpoint.
func (s *storeScheduler) recordLocalLoad(ratio float64) {
	if s.localRatio == 0 {
		s.localRatio = ratio
		return
	}
	s.localRatio += loadRatioWeight * (ratio - s.localRatio)
}

func (s *storeScheduler) recordStoreLoad(took, fullSpeed time.Duration) {
	ratio := took.Seconds() / fullSpeed.Seconds()
	s.slowdown += loadRatioWeight * (max(1, ratio) - s.slowdown)
}
