package placement

import (
	"time"

	"cowsliptiller/coord/config"
)

// store schedules loads from the shared weight store.
//
// Pattern of load: a burst of first requests for many models. Without a
// schedule each target would fetch at once; the store shares its speed, so every
// load ends late, the urgent ones too. With at most the store's number at full
// speed in flight, the same bytes a second flow and the most urgent end first.
//
// Starts are counted over a sliding window: at most floor(rate) starts in any
// floor(rate)/rate seconds. A bucket as deep as the rate would let twice the
// rate through in one second; a bucket of depth one would delay the second load
// of a burst for nothing.
type store struct {
	starts []time.Time // the last floor(rate) starts, oldest at head
	head   int
	window time.Duration
	slots  int
	// slowdown is the measured ratio of a load's time to its time at full
	// speed: it grows when the store slows, so that forecasts stay true.
	slowdown float64
	// local is the measured ratio of loads from hosts' own copies to the time
	// from the store, over the fleet; 0: none measured yet.
	local float64
}

// slowdownWeight lets about the last five loads count.
const slowdownWeight = 0.2

func (s *store) configure(l config.StoreLimits, now time.Time) {
	n := max(1, int(l.LoadsPerSecond))
	s.window = time.Duration(float64(n) / l.LoadsPerSecond * float64(time.Second))
	s.slots = l.FullSpeedLoads
	if s.slowdown == 0 {
		s.slowdown = 1
	}
	if len(s.starts) == n {
		return
	}
	// A new planner does not know what its predecessor started within the
	// last window: it takes that as a full window.
	s.starts = make([]time.Time, n)
	for i := range s.starts {
		s.starts[i] = now
	}
	s.head = 0
}

// nextStart is the earliest time at which one more load may start.
func (s *store) nextStart() time.Time {
	return s.starts[s.head].Add(s.window)
}

func (s *store) mayStart(now time.Time) bool {
	return !now.Before(s.nextStart())
}

func (s *store) start(now time.Time) {
	s.starts[s.head] = now
	s.head = (s.head + 1) % len(s.starts)
}

// measuredLocal learns from a load on a host that is listed as holding the checkpoint.
func (s *store) measuredLocal(ratio float64) {
	if s.local == 0 {
		s.local = ratio
		return
	}
	s.local += slowdownWeight * (ratio - s.local)
}

func (s *store) measured(took, fullSpeed time.Duration) {
	ratio := took.Seconds() / fullSpeed.Seconds()
	s.slowdown += slowdownWeight * (max(1, ratio) - s.slowdown)
}
