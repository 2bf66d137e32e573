package workspace

import (
	"time"

	"cowsliptiller/coord/config"
)

// microPerToken is the resolution of a bucket. With micro-tokens, rate x elapsed
// microseconds is an integer, so refills have no rounding error.
const microPerToken = 1_000_000

// Limit is the token rate limit of a workspace.
type Limit struct {
	Rate  int64 // tokens per second, above 0
	Burst int64 // tokens, above 0
}

// LimitOf returns the limit in a workspace's configuration.
func LimitOf(w config.WorkspaceSpec) Limit {
	return Limit{Rate: w.Rate, Burst: w.Burst}
}

// Limits returns the limit of every workspace of a configuration.
func Limits(c *config.Configuration) map[string]Limit {
	limits := make(map[string]Limit, len(c.Workspaces))
	for name, w := range c.Workspaces {
		limits[name] = LimitOf(w)
	}
	return limits
}

// Window returns the time in which an empty bucket fills: burst/rate. Charges older than
// one window have no effect on the current level.
func (l Limit) Window() time.Duration {
	return time.Duration(float64(l.Burst) / float64(l.Rate) * float64(time.Second))
}

// maxPrefetch returns the most tokens that one holder may keep ahead of need.
func (l Limit) maxPrefetch() int64 {
	return l.Burst / prefetchDivisor
}

// prefetchPerHost returns the most tokens that a host may keep ahead of need while the
// given number of hosts is active.
func (l Limit) prefetchPerHost(active int64) int64 {
	return l.maxPrefetch() / active
}

// isSmall reports whether a call is small relative to the burst.
func (l Limit) isSmall(tokens int64) bool {
	return tokens <= l.Burst/smallCallDivisor
}

// tokensIn returns the tokens that the rate yields in a duration, capped at the burst.
func (l Limit) tokensIn(d time.Duration) int64 {
	if d >= l.Window() {
		return l.Burst
	}
	return int64(float64(l.Rate) * max(0, d.Seconds()))
}

// FillTime returns the time in which the rate yields a number of tokens.
func (l Limit) FillTime(tokens int64) time.Duration {
	if tokens <= 0 {
		return 0
	}
	return time.Duration(float64(tokens)/float64(l.Rate)*float64(time.Second)) + time.Microsecond
}
