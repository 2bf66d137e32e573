package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cowsliptiller/coord/fault"
)

// outcomeOK is the outcome label of what succeeded; the others are error kinds.
const outcomeOK = "ok"

// Agent is what an agent measures.
type Agent struct {
	attempts *prometheus.CounterVec
	duration prometheus.Histogram
	orders   *prometheus.CounterVec
	loads    prometheus.Histogram
}

// NewAgent registers the agent's metrics; a nil registry keeps them unseen.
func NewAgent(registry prometheus.Registerer) *Agent {
	a := &Agent{
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowslip_agent_attempts_total",
			Help: "Attempts answered, by outcome: ok or an error kind.",
		}, []string{"outcome"}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "cowslip_agent_attempt_duration_seconds",
			Help:    "From an attempt's arrival to its last frame.",
			Buckets: requestBuckets,
		}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowslip_agent_orders_total",
			Help: "Orders given to the target, by order (load, unload) and outcome.",
		}, []string{"order", "outcome"}),
		loads: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "cowslip_agent_load_duration_seconds",
			Help:    "Time of successful model loads.",
			Buckets: loadBuckets,
		}),
	}
	register(registry, a.attempts, a.duration, a.orders, a.loads)
	return a
}

// Served counts one attempt.
func (a *Agent) Served(err error, took time.Duration) {
	a.attempts.WithLabelValues(outcome(err)).Inc()
	a.duration.Observe(took.Seconds())
}

// Ordered counts one order to the target.
func (a *Agent) Ordered(load bool, err error, took time.Duration) {
	a.orders.WithLabelValues(orderName(load), outcome(err)).Inc()
	if load && err == nil {
		a.loads.Observe(took.Seconds())
	}
}

func orderName(load bool) string {
	if load {
		return "load"
	}
	return "unload"
}

func outcome(err error) string {
	if err == nil {
		return outcomeOK
	}
	return string(fault.From(err).Kind)
}
