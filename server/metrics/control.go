package metrics

import "github.com/prometheus/client_golang/prometheus"

// ControlReadings are read at each scrape.
type ControlReadings struct {
	Leading       func() float64 // 1 while this process leads
	Term          func() float64
	Applied       func() float64
	Revision      func() float64
	Configuration func() float64
	Followers     func() float64 // with a lease that may hold
	BarrierAge    func() float64 // seconds
}

// Control is what a control process measures.
type Control struct {
	commands *prometheus.CounterVec
}

// NewControl registers a control process's metrics; a nil registry keeps them unseen.
func NewControl(registry prometheus.Registerer, r ControlReadings) *Control {
	c := &Control{commands: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cowslip_control_commands_total",
		Help: "Commands proposed through this process, by outcome: ok or an error kind.",
	}, []string{"outcome"})}
	register(registry, c.commands,
		gauge("cowslip_control_leading", "1 while this process leads and holds the leader's lease.", r.Leading),
		gauge("cowslip_control_term", "Term of the replicated log.", r.Term),
		gauge("cowslip_control_applied_index", "Last log index applied here.", r.Applied),
		gauge("cowslip_control_revision", "Revision of the view.", r.Revision),
		gauge("cowslip_control_configuration_revision", "Configuration revision in force.", r.Configuration),
		gauge("cowslip_control_followers", "Processes with a freshness lease from this one.", r.Followers),
		gauge("cowslip_control_barrier_age_seconds", "Time since this process was last known to be up to date.", r.BarrierAge),
	)
	return c
}

// Command counts one proposed command.
func (c *Control) Command(outcome string) {
	c.commands.WithLabelValues(outcome).Inc()
}

func gauge(name, help string, read func() float64) prometheus.GaugeFunc {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read)
}
