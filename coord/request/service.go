package request

import (
	"time"

	"cowsliptiller/coord/fair"
)

// serviceTimes measures how long calls of one destination take, from hand-over to
// the whole answer, and how fast it works off what waits.
type serviceTimes struct {
	mean   [fair.Bands]time.Duration
	tokens float64       // moving mean of the expected tokens of a call
	gap    time.Duration // moving mean of the time between ends while work waited
	ended  time.Time
}

// serviceWeight is the weight of one measurement in a moving mean: an eighth, as for
// round trips in RFC 6298, follows a change within some ten calls and not one outlier.
const serviceWeight = 8

// observe takes a measured time. It returns by how much the mean grew.
func (s *serviceTimes) observe(b fair.Band, took time.Duration) time.Duration {
	before := s.mean[b]
	if before == 0 {
		s.mean[b] = took
	} else {
		s.mean[b] += (took - before) / serviceWeight
	}
	return max(0, s.mean[b]-before)
}

// end notes the end of a call; busy says that others waited since the last end, for
// only then does the gap measure the destination and not the arrivals.
func (s *serviceTimes) end(now time.Time, tokens int64, busy bool) {
	if busy && !s.ended.IsZero() {
		gap := now.Sub(s.ended)
		if s.gap == 0 {
			s.gap, s.tokens = gap, float64(tokens)
		} else {
			s.gap += (gap - s.gap) / serviceWeight
			s.tokens += (float64(tokens) - s.tokens) / serviceWeight
		}
	}
	s.ended = now
}

// drain returns the time in which tokens are worked off; 0 before it is measured.
func (s *serviceTimes) drain(tokens int64) time.Duration {
	if s.tokens <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / s.tokens * float64(s.gap))
}
