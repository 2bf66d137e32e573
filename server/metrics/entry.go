package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// unknownLabel is the label value for a workspace or class that had not been
// determined when the request was rejected.
const unknownLabel = "unknown"

// Entry holds the metrics of an entry host.
type Entry struct {
	requests  *prometheus.CounterVec
	duration  *prometheus.HistogramVec
	firstByte *prometheus.HistogramVec
	attempts  *prometheus.CounterVec
	claims    *prometheus.CounterVec
	questions *prometheus.CounterVec
	cuts      *prometheus.CounterVec
}

// NewEntry creates the metrics of an entry host and registers them, unless registry
// is nil. held and heldBytes return the number of requests and of request body bytes
// that are held in memory now.
func NewEntry(registry prometheus.Registerer, held, heldBytes func() float64) *Entry {
	e := &Entry{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowslip_entry_requests_total",
			Help: "Requests answered, by workspace, class and outcome: ok or an error kind.",
		}, []string{"workspace", "class", "outcome"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "cowslip_entry_request_duration_seconds",
			Help:    "From a request's arrival to the end of its answer.",
			Buckets: requestBuckets,
		}, []string{"class"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "cowslip_entry_first_byte_seconds",
			Help:    "From a request's arrival to the head of its answer, by whether it waited for a model to load.",
			Buckets: requestBuckets,
		}, []string{"class", "cold"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowslip_entry_attempts_total",
			Help: "Attempts sent to agents, by outcome.",
		}, []string{"outcome"}),
		claims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowslip_entry_claims_total",
			Help: "Claims for calls that may not be repeated, by result: granted, replayed, or an error kind.",
		}, []string{"result"}),
		questions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowslip_entry_claim_questions_total",
			Help: "Requests to control for a claim, by outcome: ok or an error kind. One claim asks again while control does not answer.",
		}, []string{"outcome"}),
		cuts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowslip_entry_connections_cut_total",
			Help: "Callers' connections that this host closed with a request without a complete answer.",
		}, []string{"reason", "held"}),
	}
	register(registry, e.requests, e.duration, e.firstByte, e.attempts, e.claims, e.questions, e.cuts,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "cowslip_entry_requests_held",
			Help: "Requests held now.",
		}, held),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "cowslip_entry_held_body_bytes",
			Help: "Bytes of request bodies held now.",
		}, heldBytes))
	return e
}

// Answered counts one request and observes its duration. workspace and class are empty
// when unknown.
func (e *Entry) Answered(workspace, class string, err error, took time.Duration) {
	e.requests.WithLabelValues(labelOrUnknown(workspace), labelOrUnknown(class), outcomeLabel(err)).Inc()
	e.duration.WithLabelValues(labelOrUnknown(class)).Observe(took.Seconds())
}

// FirstByte observes the time to the head of a response. cold is true when the request
// waited for a model to load.
func (e *Entry) FirstByte(class string, cold bool, took time.Duration) {
	e.firstByte.WithLabelValues(labelOrUnknown(class), boolLabel(cold)).Observe(took.Seconds())
}

// Attempted counts one attempt sent to an agent.
func (e *Entry) Attempted(err error) {
	e.attempts.WithLabelValues(outcomeLabel(err)).Inc()
}

// ConnectionCut counts one connection that was closed with a request without a complete answer.
func (e *Entry) ConnectionCut(reason, held string) {
	e.cuts.WithLabelValues(reason, held).Inc()
}

// ClaimAsked counts one request to control for a claim.
func (e *Entry) ClaimAsked(err error) {
	e.questions.WithLabelValues(outcomeLabel(err)).Inc()
}

// Claimed counts one claim for a call that must not be repeated. Its result label is
// granted, replayed, or the kind of the error.
func (e *Entry) Claimed(replayed bool, err error) {
	result := "granted"
	if replayed {
		result = "replayed"
	}
	if err != nil {
		result = outcomeLabel(err)
	}
	e.claims.WithLabelValues(result).Inc()
}

func labelOrUnknown(label string) string {
	if label == "" {
		return unknownLabel
	}
	return label
}

func boolLabel(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
