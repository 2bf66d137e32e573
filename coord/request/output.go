package request

import "time"

// Load pattern: responses of up to 952 tokens with a deadline of 12 s, on targets of which two in five
// take 2.4 times as long as the others.
// Without it: the longest responses begin at slow targets, where they cannot end in time.
// Rule: the expected run time is estimated from the length hint or the maximum output of the request.

const (
	// expectedOutputShare is the mean length of responses as a share of the maximum output tokens:
	// 290 of 952.
	expectedOutputShare = 0.3
	// initialTokenTime is the time of a token until a mean is learnt: a step of a target's engine.
	initialTokenTime = 5200 * time.Microsecond
	// maxOutputTime bounds an estimate; a request may give any number as its maximum.
	maxOutputTime = time.Hour
)

// ExpectedOutput returns the number of output tokens that a request is expected to get; 0: not known.
// hint is what its caller expects and maximum what it allows; 0: not given.
func ExpectedOutput(hint, maximum int64) int64 {
	switch {
	case hint > 0 && maximum > 0:
		return min(hint, maximum)
	case hint > 0:
		return hint
	}
	return int64(expectedOutputShare * float64(max(0, maximum)))
}

// OutputTimes learns the run time of an expected output token, by service. It is learnt from what was
// expected, so that expectations that are too high or too low on average cancel out. Times are at the
// usual speed of a target. It is not safe for concurrent use.
type OutputTimes struct {
	means map[string]outputMean // by service
}

// outputMean holds moving means over the runs of a service.
type outputMean struct {
	tokens, seconds float64
}

// NewOutputTimes returns OutputTimes that know no run.
func NewOutputTimes() *OutputTimes { return &OutputTimes{means: map[string]outputMean{}} }

// RecordRun records how long a request of a service ran and how many output tokens were expected.
func (o *OutputTimes) RecordRun(service string, tokens int64, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	n := float64(tokens)
	m, known := o.means[service]
	if !known {
		m = outputMean{n, n * initialTokenTime.Seconds()}
	}
	m.tokens += runMeanWeight * (n - m.tokens)
	m.seconds += runMeanWeight * (took.Seconds() - m.seconds)
	o.means[service] = m
}

// Estimate returns how long a request of a service with that many expected output tokens runs at usual
// speed.
func (o *OutputTimes) Estimate(service string, tokens int64) time.Duration {
	perToken := initialTokenTime.Seconds()
	if m, known := o.means[service]; known {
		perToken = m.seconds / m.tokens
	}
	return time.Duration(min(perToken*float64(max(0, tokens)), maxOutputTime.Seconds()) * float64(time.Second))
}
