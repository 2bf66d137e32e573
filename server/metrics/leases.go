package metrics

import "github.com/prometheus/client_golang/prometheus"

// Leases is what a control process measures of its commands and of the freshness
// leases that it grants; how it stands is in ControlStanding.
type Leases struct {
	commands *prometheus.CounterVec
}

// NewLeases registers the metrics; a nil registry keeps them unseen. followers
// counts the processes with a lease from here, barrierAge is the time in seconds
// since this process was last known to be up to date.
func NewLeases(registry prometheus.Registerer, followers, barrierAge func() float64) *Leases {
	l := &Leases{commands: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cowslip_control_commands_total",
		Help: "Commands proposed through this process, by outcome: ok or an error kind.",
	}, []string{"outcome"})}
	register(registry, l.commands,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "cowslip_control_followers",
			Help: "Processes with a freshness lease from this one.",
		}, followers),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "cowslip_control_barrier_age_seconds",
			Help: "Time since this process was last known to be up to date.",
		}, barrierAge))
	return l
}

// Command counts one proposed command.
func (l *Leases) Command(outcome string) {
	l.commands.WithLabelValues(outcome).Inc()
}
