package agent

import (
	"sync"
	"time"

	"cowsliptiller/coord/fault"
)

// attemptMemory is how long an attempt's id is remembered after its deadline.
// A repeat that arises below our own code, in a transport, comes within the
// life of a connection; a minute is far above that.
const attemptMemory = time.Minute

// attempts remembers which attempts came. An attempt is sent by an entry host
// once; a second arrival means that a transport repeated it, and running it
// again would run a non-repeatable call twice.
type attempts struct {
	mu    sync.Mutex
	until map[string]time.Time
	swept time.Time
}

func newAttempts() *attempts {
	return &attempts{until: map[string]time.Time{}}
}

// begin takes an attempt in, or fails with fault.AlreadyClaimed.
func (s *attempts) begin(attempt string, now time.Time, left time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	if _, seen := s.until[attempt]; seen {
		return fault.New(fault.AlreadyClaimed, "this attempt came before")
	}
	s.until[attempt] = now.Add(left + attemptMemory)
	return nil
}

func (s *attempts) sweep(now time.Time) {
	if now.Sub(s.swept) < attemptMemory {
		return
	}
	s.swept = now
	for attempt, until := range s.until {
		if until.Before(now) {
			delete(s.until, attempt)
		}
	}
}
