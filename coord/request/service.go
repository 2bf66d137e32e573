package request

import (
	"time"
)

// serviceTimes measures how long calls of one destination take, from hand-over to
// the final answer, and how often one finishes.
type serviceTimes struct {
	mean  time.Duration
	gap   time.Duration // mean time between ends while work waited
	ended time.Time
}

// serviceWeight is the weight of one measurement in a moving mean: an eighth, as for
// round trips in RFC 6298, follows a change within some ten calls and not one outlier.
const serviceWeight = 8

func (s *serviceTimes) observe(took time.Duration) {
	if s.mean == 0 {
		s.mean = took
		return
	}
	s.mean += (took - s.mean) / serviceWeight
}

// end notes the end of a call; busy says that others ran or waited since the last end,
// for only then does the gap measure the destination and not the arrivals.
func (s *serviceTimes) end(now time.Time, busy bool) {
	if busy && !s.ended.IsZero() {
		gap := now.Sub(s.ended)
		if s.gap == 0 {
			s.gap = gap
		} else {
			s.gap += (gap - s.gap) / serviceWeight
		}
	}
	s.ended = now
}
