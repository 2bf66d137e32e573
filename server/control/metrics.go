package control

import (
	"github.com/prometheus/client_golang/prometheus"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/state"
	"cowsliptiller/server/metrics"
)

// Register adds this role's metrics to a registry. It is called before Start, or
// not at all.
func (c *Role) Register(registry prometheus.Registerer) {
	c.metrics = metrics.NewControl(registry, metrics.ControlReadings{
		Leading:       func() float64 { return float64(boolToInt(c.log.Status().Leading)) },
		Term:          func() float64 { return float64(c.log.Status().Term) },
		Applied:       func() float64 { return float64(c.log.Status().Applied) },
		Revision:      func() float64 { revision, _ := c.machine.Revision(); return float64(revision) },
		Configuration: c.configurationRevision,
		Followers:     c.liveFollowers,
		BarrierAge:    func() float64 { return c.now().Sub(c.reads.last()).Seconds() },
	})
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (c *Role) configurationRevision() (revision float64) {
	c.machine.Read(func(s *state.State) { revision = float64(s.ConfigurationRevision()) })
	return revision
}

func (c *Role) liveFollowers() float64 {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, s := range c.subscribers.List() {
		n += boolToInt(s.Live(now))
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
