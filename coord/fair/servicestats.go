package fair

import "time"

// ServiceStats measures the service time of work at one destination, from its start to its complete
// answer, and the rate at which the destination drains its queue.
type ServiceStats struct {
	mean             [NumBands]time.Duration
	deviation        [NumBands]time.Duration // moving mean of the absolute difference from mean
	meanTokens       float64                 // moving mean of the expected tokens of one unit of work
	meanGap          time.Duration           // moving mean of the time between completions while work waited
	lastEnd          time.Time
	waitingAtLastEnd bool // work waited at the last completion
}

// smoothingDivisor is the reciprocal of the weight of one sample in a moving mean. 1/8, as
// for the round-trip time in RFC 6298, follows a change within about ten calls and is not
// dominated by one outlier.
const smoothingDivisor = 8

// Mean returns the moving mean of the service time of a band, or 0 before the first
// measurement.
func (s *ServiceStats) Mean(b Band) time.Duration { return s.mean[b] }

// Margin returns how long before its deadline work must start if left was the time to the
// deadline when it arrived: the mean plus twice the deviation, which nine of ten meet, but
// at most half of left. Without this cap one slow period would cause all work to be refused
// and so never measured again.
func (s *ServiceStats) Margin(b Band, left time.Duration) time.Duration {
	return min(s.upperBound(b), left/2)
}

// upperBound returns the service time that about nine of ten calls stay below.
func (s *ServiceStats) upperBound(b Band) time.Duration { return s.mean[b] + 2*s.deviation[b] }

// Observe records a measured service time. It returns the most by which Margin may have grown.
func (s *ServiceStats) Observe(b Band, took time.Duration) time.Duration {
	before := s.upperBound(b)
	if s.mean[b] == 0 {
		s.mean[b], s.deviation[b] = took, took/2
	} else {
		s.deviation[b] += ((took - s.mean[b]).Abs() - s.deviation[b]) / smoothingDivisor
		s.mean[b] += (took - s.mean[b]) / smoothingDivisor
	}
	return max(0, s.upperBound(b)-before)
}

// ObserveEnd records the completion of work with the given expected tokens. waiting reports whether
// other work is waiting now. A gap counts only if work waited at its beginning: otherwise it
// measures the arrivals and not the destination.
func (s *ServiceStats) ObserveEnd(now time.Time, tokens int64, waiting bool) {
	if s.waitingAtLastEnd {
		gap := now.Sub(s.lastEnd)
		if s.meanGap == 0 {
			s.meanGap, s.meanTokens = gap, float64(tokens)
		} else {
			s.meanGap += (gap - s.meanGap) / smoothingDivisor
			s.meanTokens += (float64(tokens) - s.meanTokens) / smoothingDivisor
		}
	}
	s.lastEnd, s.waitingAtLastEnd = now, waiting
}

// DrainTime returns the estimated time to serve the given tokens, or 0 before the first
// measurement.
func (s *ServiceStats) DrainTime(tokens int64) time.Duration {
	if s.meanTokens <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / s.meanTokens * float64(s.meanGap))
}
