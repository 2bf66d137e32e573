package copies

import (
	"math"
	"time"
)

// Work is the work of requests at a target of usual speed.
type Work struct {
	SlotSeconds   float64 // time that the requests occupy a slot
	PromptSeconds float64 // time that the prefill of their prompts takes
}

// maxWork bounds the work of one report in seconds, far above what a host's callers offer between two polls.
const maxWork = 1e6

// Valid returns the work with figures that are negative, not finite or over 1e6 seconds set to zero.
func (w Work) Valid() Work { return Work{validSeconds(w.SlotSeconds), validSeconds(w.PromptSeconds)} }

func validSeconds(s float64) float64 {
	if s >= 0 && s <= maxWork { // false for NaN
		return s
	}
	return 0
}

// workTimeConstant is the time constant of the decay of offered work. A longer one would delay the growth for
// demand that moves within 7 s; a shorter one would follow single requests.
const workTimeConstant = 2 * time.Second

// workRate is an exponentially decaying rate of work, in seconds of work per second.
type workRate struct {
	perSecond Work
	at        time.Time
}

func (r *workRate) add(w Work, now time.Time) {
	r.decay(now)
	r.perSecond.SlotSeconds += w.SlotSeconds / workTimeConstant.Seconds()
	r.perSecond.PromptSeconds += w.PromptSeconds / workTimeConstant.Seconds()
}

func (r *workRate) decay(now time.Time) {
	elapsed := now.Sub(r.at)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / workTimeConstant.Seconds())
	r.perSecond.SlotSeconds *= factor
	r.perSecond.PromptSeconds *= factor
	r.at = now
}
