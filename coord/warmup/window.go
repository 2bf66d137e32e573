package warmup

import "time"

const (
	// MaxRoundTrip is the longest time between asking for a send time and the answer. It is
	// the error of the send time at the host that asked.
	MaxRoundTrip = 150 * time.Millisecond
	// sendTolerance is how much later than its send time a request may be sent.
	sendTolerance = 100 * time.Millisecond
	// MaxSendDelay is the longest time between a send time and the sending.
	MaxSendDelay = MaxRoundTrip + sendTolerance
)

// Window is the interval in which a host may send the request that it has a send time for.
type Window struct{ From, Until time.Time }

// NewWindow returns the window of a send time that was asked for and answered at the given
// times of the host's clock. It reports false if the answer took too long.
func NewWindow(asked, answered time.Time, wait time.Duration) (Window, bool) {
	if expired(asked.Add(MaxRoundTrip), answered) {
		return Window{}, false
	}
	from := answered.Add(wait)
	return Window{From: from, Until: from.Add(sendTolerance)}, true
}

// Expired reports whether the request must not be sent any more.
func (w Window) Expired(now time.Time) bool { return !w.Until.IsZero() && expired(w.Until, now) }

// expired also compares the wall clock, because the monotonic clock does not advance while the
// host is suspended.
func expired(limit, now time.Time) bool {
	return now.After(limit) || now.Round(0).After(limit.Round(0))
}
