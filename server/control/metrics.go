package control

import (
	"github.com/prometheus/client_golang/prometheus"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/server/metrics"
)

// Register adds this role's metrics to a registry. It is called before Start, or
// not at all.
func (c *Role) Register(registry prometheus.Registerer) {
	c.metrics = metrics.NewLeases(registry, c.liveFollowers, func() float64 {
		return c.now().Sub(c.reads.last()).Seconds()
	})
}

func (c *Role) liveFollowers() float64 {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, s := range c.subscribers.List() {
		if s.LeaseValid(now) {
			n++
		}
	}
	return float64(n)
}

// count notes how a command ended, refusals by the state included.
func (c *Role) count(r *coordpb.Result, err error) {
	outcome := "ok"
	switch {
	case err != nil:
		outcome = string(fault.From(err).Kind)
	case r.GetKind() != "":
		outcome = r.Kind
	}
	c.metrics.Command(outcome)
}
