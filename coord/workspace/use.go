package workspace

import (
	"math"
	"time"
)

// useMemory is the time constant of the mean of recent use: long enough to bridge
// the gaps of a few calls a second, short enough that an idle host returns its stock
// within seconds.
const useMemory = 2 * time.Second

// useRate is an exponentially weighted rate of tokens.
type useRate struct {
	perSec float64
	at     time.Time
}

func (u *useRate) add(now time.Time, tokens int64) {
	u.decay(now)
	u.perSec += float64(tokens) / useMemory.Seconds()
}

func (u *useRate) decay(now time.Time) {
	if !u.at.IsZero() && now.After(u.at) {
		u.perSec *= math.Exp(-now.Sub(u.at).Seconds() / useMemory.Seconds())
	}
	if now.After(u.at) {
		u.at = now
	}
}

// perSecond returns the rate; one below a token a second is none.
func (u *useRate) perSecond(now time.Time) int64 {
	u.decay(now)
	return int64(u.perSec)
}
