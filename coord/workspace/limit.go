package workspace

import (
	"time"

	"cowsliptiller/coord/config"
)

// microPerToken is the resolution of a bucket: rate x elapsed microseconds is then
// an integer, so that a bucket neither gains nor loses by rounding.
const microPerToken = 1_000_000

// Limit is what a workspace may use.
type Limit struct {
	Rate  int64 // tokens a second, above 0
	Burst int64 // tokens, above 0
}

// LimitOf returns the limit that the configuration gives a workspace.
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

// Window is the time in which an empty bucket fills: burst/rate. What was charged
// before the last Window has no effect on the level now.
func (l Limit) Window() time.Duration {
	return time.Duration(float64(l.Burst) / float64(l.Rate) * float64(time.Second))
}

// stock is the most that one holder keeps ahead of need.
func (l Limit) stock() int64 {
	return l.Burst / aheadShare
}

// share is the most that one of so many active hosts keeps ahead of need.
func (l Limit) share(active int64) int64 {
	return l.stock() / active
}

// small reports whether a call is small beside the workspace's allowance.
func (l Limit) small(tokens int64) bool {
	return tokens <= l.Burst/smallShare
}

// in returns the tokens that flow in within a time, at most the burst.
func (l Limit) in(d time.Duration) int64 {
	if d >= l.Window() {
		return l.Burst
	}
	return int64(float64(l.Rate) * max(0, d.Seconds()))
}

// After returns the time in which tokens flow in.
func (l Limit) After(tokens int64) time.Duration {
	if tokens <= 0 {
		return 0
	}
	return time.Duration(float64(tokens)/float64(l.Rate)*float64(time.Second)) + time.Microsecond
}
