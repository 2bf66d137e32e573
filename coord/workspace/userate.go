package workspace

import (
	"math"
	"time"
)

// useRateTimeConstant is the time constant of the moving average of token use. It is long
// enough to smooth over the gaps at a few calls per second, and short enough that an idle
// host returns its prefetched tokens within seconds.
const useRateTimeConstant = 2 * time.Second

// useRate is an exponentially weighted moving average of token use.
type useRate struct {
	perSec float64
	at     time.Time
}

func (u *useRate) add(now time.Time, tokens int64) {
	u.decay(now)
	u.perSec += float64(tokens) / useRateTimeConstant.Seconds()
}

func (u *useRate) decay(now time.Time) {
	if !u.at.IsZero() && now.After(u.at) {
		u.perSec *= math.Exp(-now.Sub(u.at).Seconds() / useRateTimeConstant.Seconds())
	}
	if now.After(u.at) {
		u.at = now
	}
}

// perSecond returns the rate in whole tokens per second, rounded down.
func (u *useRate) perSecond(now time.Time) int64 {
	u.decay(now)
	return int64(u.perSec)
}
