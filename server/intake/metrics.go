package intake

import "github.com/prometheus/client_golang/prometheus"

// Register adds the reader's metrics.
func (r *Reader) Register(registry prometheus.Registerer) {
	registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "cowslip_body_memory_bytes",
			Help: "Bytes of request bodies in memory."}, func() float64 { return float64(r.Held()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "cowslip_bodies_rejected_total",
			Help: "Request bodies that were rejected before their end, for lack of memory or of connections."}, func() float64 { return float64(r.Rejected()) }),
	)
}
