package metrics

import "github.com/prometheus/client_golang/prometheus"

// Member holds the metrics of the supervision of a control member.
type Member struct {
	running  prometheus.Gauge
	failures *prometheus.CounterVec
}

// NewMember returns the metrics, registered with registry unless it is nil. Each of reasons has
// a series from the start.
func NewMember(registry prometheus.Registerer, reasons ...string) *Member {
	m := &Member{
		running: prometheus.NewGauge(prometheus.GaugeOpts{Name: "cowslip_control_member_running",
			Help: "1 where the control member of this process runs."}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cowslip_control_member_failures_total",
			Help: "Failures of the control member of this process and failed attempts to open it, by reason."}, []string{"reason"}),
	}
	for _, reason := range reasons {
		m.failures.WithLabelValues(reason)
	}
	register(registry, m.running, m.failures)
	return m
}

// SetRunning records whether the member runs.
func (m *Member) SetRunning(running bool) { m.running.Set(boolValue(running)) }

// Failure counts a failure.
func (m *Member) Failure(reason string) { m.failures.WithLabelValues(reason).Inc() }
