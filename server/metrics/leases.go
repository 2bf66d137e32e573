package metrics

import "github.com/prometheus/client_golang/prometheus"

// Leases holds the metrics of a control process on proposed commands and granted
// freshness leases. The status of the member is in ControlStatus.
type Leases struct {
	commands *prometheus.CounterVec
}

// NewLeases creates the metrics and registers them, unless registry is nil. followers
// returns the number of processes that hold a lease from this one. barrierAge returns
// the time in seconds since this process was last known to be up to date.
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

// Command counts one proposed command by its outcome: ok or an error kind.
func (l *Leases) Command(outcome string) {
	l.commands.WithLabelValues(outcome).Inc()
}
