package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/framing"
)

// outcomeOK is the outcome label of a success; the other outcomes are error kinds.
const outcomeOK = "ok"

// Agent holds the metrics of an agent.
type Agent struct {
	attempts     *prometheus.CounterVec
	answers      *prometheus.CounterVec
	duration     prometheus.Histogram
	orders       *prometheus.CounterVec
	loadDuration prometheus.Histogram
}

// NewAgent creates the metrics of an agent and registers them, unless registry is nil.
func NewAgent(registry prometheus.Registerer) *Agent {
	a := &Agent{
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowslip_agent_attempts_total",
			Help: "Attempts answered, by outcome: ok or an error kind.",
		}, []string{"outcome"}),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowslip_agent_answers_total",
			Help: "Answers of the target, by how they mark their end and how they ended.",
		}, []string{"framing", "end"}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "cowslip_agent_attempt_duration_seconds",
			Help:    "From an attempt's arrival to its last frame.",
			Buckets: requestBuckets,
		}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowslip_agent_orders_total",
			Help: "Orders given to the target, by order (load, unload) and outcome.",
		}, []string{"order", "outcome"}),
		loadDuration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "cowslip_agent_load_duration_seconds",
			Help:    "Time of successful model loads.",
			Buckets: loadBuckets,
		}),
	}
	register(registry, a.attempts, a.answers, a.duration, a.orders, a.loadDuration)
	return a
}

// Served counts one attempt and observes its duration.
func (a *Agent) Served(err error, took time.Duration) {
	a.attempts.WithLabelValues(outcomeLabel(err)).Inc()
	a.duration.Observe(took.Seconds())
}

// AnswerEnded counts one answer of the target that was read to its end.
func (a *Agent) AnswerEnded(f framing.Framing, end framing.End) {
	a.answers.WithLabelValues(string(f), string(end)).Inc()
}

// Ordered counts one load or unload order to the target. It observes the duration of a
// successful load.
func (a *Agent) Ordered(load bool, err error, took time.Duration) {
	a.orders.WithLabelValues(orderLabel(load), outcomeLabel(err)).Inc()
	if load && err == nil {
		a.loadDuration.Observe(took.Seconds())
	}
}

func orderLabel(load bool) string {
	if load {
		return "load"
	}
	return "unload"
}

func outcomeLabel(err error) string {
	if err == nil {
		return outcomeOK
	}
	return string(fault.From(err).Kind)
}
