package fair

import "time"

// Speed measures how long work of one destination takes, from its start to its whole
// answer, and how fast the destination works off what waits.
type Speed struct {
	mean   [Bands]time.Duration
	dev    [Bands]time.Duration // moving mean of the distance from the mean
	tokens float64              // moving mean of the expected tokens of a piece of work
	gap    time.Duration        // moving mean of the time between ends while work waited
	ended  time.Time
	busy   bool // work waited at the newest end
}

// speedWeight is the weight of one measurement in a moving mean: an eighth, as for
// round trips in RFC 6298, follows a change within some ten calls and not one outlier.
const speedWeight = 8

// Mean returns the moving mean of the time that work of a band takes; 0 before the
// first measurement.
func (s *Speed) Mean(b Band) time.Duration { return s.mean[b] }

// Margin returns the time to leave before a deadline for work that arrived with left
// until then: the mean and twice the deviation, which nine of ten keep, but at most
// half of what was left. Without the cap one slow spell would have all work refused, and
// so never measured again.
func (s *Speed) Margin(b Band, left time.Duration) time.Duration {
	return min(s.bound(b), left/2)
}

func (s *Speed) bound(b Band) time.Duration { return s.mean[b] + 2*s.dev[b] }

// Observe takes a measured time. It returns by how much the margin may have grown.
func (s *Speed) Observe(b Band, took time.Duration) time.Duration {
	before := s.bound(b)
	if s.mean[b] == 0 {
		s.mean[b], s.dev[b] = took, took/2
	} else {
		s.dev[b] += ((took - s.mean[b]).Abs() - s.dev[b]) / speedWeight
		s.mean[b] += (took - s.mean[b]) / speedWeight
	}
	return max(0, s.bound(b)-before)
}

// End notes the end of a piece of work with its expected tokens. Waiting says that
// others wait: only between two such ends does the gap measure the destination and
// not the arrivals.
func (s *Speed) End(now time.Time, tokens int64, waiting bool) {
	if s.busy {
		gap := now.Sub(s.ended)
		if s.gap == 0 {
			s.gap, s.tokens = gap, float64(tokens)
		} else {
			s.gap += (gap - s.gap) / speedWeight
			s.tokens += (float64(tokens) - s.tokens) / speedWeight
		}
	}
	s.ended, s.busy = now, waiting
}

// Drain returns the time in which tokens are worked off; 0 before it is measured.
func (s *Speed) Drain(tokens int64) time.Duration {
	if s.tokens <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / s.tokens * float64(s.gap))
}
