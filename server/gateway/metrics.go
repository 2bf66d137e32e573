package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/framing"
	"cowsliptiller/coord/request"
	"cowsliptiller/server/events"
	"cowsliptiller/server/inbound"
)

// Metrics of a gateway. Label values are bounded by the deployment's routes and
// services and by the closed list of error kinds.
type Metrics struct {
	requests       *prometheus.CounterVec
	latency        *prometheus.HistogramVec
	firstByte      *prometheus.HistogramVec
	failed         *prometheus.CounterVec
	unacked        *prometheus.CounterVec
	ended          *prometheus.CounterVec
	sendTimes      *prometheus.CounterVec
	limited        prometheus.Gauge
	unreached      prometheus.Gauge
	probes         *prometheus.CounterVec
	moved          *prometheus.CounterVec
	backoffs       *prometheus.CounterVec
	answers        *prometheus.CounterVec
	retries        *prometheus.CounterVec
	resumed        *prometheus.CounterVec
	origins        *prometheus.CounterVec
	answersCut     *prometheus.CounterVec
	connectionsCut *prometheus.CounterVec
	promptFirst    *prometheus.HistogramVec
	promptPause    *prometheus.HistogramVec
	promptShares   *prometheus.GaugeVec
	waits          *prometheus.HistogramVec
	reservations   *prometheus.CounterVec
	replaced       prometheus.Counter
}

// latencyBuckets cover calls of about 10 ms to model loads of about 30 s.
var latencyBuckets = prometheus.ExponentialBuckets(0.005, 2, 13)

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cowslip_gateway_requests_total",
			Help: "Requests by their final answer."}, []string{"route", "status", "kind"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "cowslip_gateway_request_seconds",
			Help: "Time to the end of the answer.", Buckets: latencyBuckets}, []string{"route"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "cowslip_gateway_first_byte_seconds",
			Help: "Time to the first byte of a target's answer.", Buckets: latencyBuckets}, []string{"route"}),
		failed: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cowslip_gateway_attempts_failed_total",
			Help: "Attempts at targets that did not serve their request."}, []string{"service", "kind"}),
		unacked: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cowslip_gateway_attempts_unacknowledged_total",
			Help: "Attempts that were canceled before the target had acknowledged all of the request."}, []string{"service"}),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cowslip_gateway_attempts_target_ended_total",
			Help: "Attempts during which the target's process ended, by whether the request shares parts of its prompt and whether the attempt had brought events."}, []string{"service", "parts", "begun"}),
		sendTimes: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cowslip_gateway_send_times_total",
			Help: "Send times of targets that warm up or announce a rate limit, by whether one was given."}, []string{"service", "given"}),
		limited: prometheus.NewGauge(prometheus.GaugeOpts{Name: "cowslip_gateway_targets_limited",
			Help: "Targets that announce a rate limit."}),
		unreached: prometheus.NewGauge(prometheus.GaugeOpts{Name: "cowslip_gateway_targets_unreachable",
			Help: "Targets that get no requests because their hosts do not respond."}),
		probes: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cowslip_gateway_target_probes_total",
			Help: "Probes of silent targets, by whether they responded."}, []string{"responded"}),
		moved: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cowslip_gateway_attempts_moved_total",
			Help: "Attempts that were canceled because another target has begun to answer their call, by whether their target was unreachable."}, []string{"service", "unreachable"}),
		backoffs: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cowslip_gateway_target_backoffs_total",
			Help: "Answers in which a target requests a backoff of this host."}, []string{"service"}),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cowslip_gateway_answers_total",
			Help: "Forwarded answers of targets, by how they mark their end and how they ended."}, []string{"service", "framing", "end"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cowslip_gateway_retries_total",
			Help: "Retries that calls asked of the fleet's budget, by whether they were granted."}, []string{"service", "granted"}),
		resumed: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cowslip_gateway_streams_resumed_total",
			Help: "Attempts that continue a stream, by whether it broke off in the same answer."}, []string{"service", "same_answer"}),
		origins: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cowslip_gateway_stream_versions_total",
			Help: "Streams that callers resume, by whether the software version that began them is known."}, []string{"service", "known"}),
		answersCut: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cowslip_gateway_answers_cut_total",
			Help: "Answers that had begun and were not complete, by who ended them."}, []string{"route", "by"}),
		connectionsCut: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cowslip_gateway_connections_cut_total",
			Help: "Callers' connections that this host closed with a request without a complete answer."}, []string{"reason", "held"}),
		promptFirst: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "cowslip_gateway_prompt_first_event_seconds",
			Help: "Time to the first event of streams that are placed by their prompts, by prompt size.", Buckets: latencyBuckets}, []string{"route", "tokens"}),
		promptPause: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "cowslip_gateway_prompt_widest_pause_seconds",
			Help: "Widest pause between two events of streams that are placed by their prompts, by prompt size.", Buckets: latencyBuckets}, []string{"route", "tokens"}),
		promptShares: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "cowslip_gateway_target_prompt_share",
			Help: "Share of a target's time that the prompts arriving there take; above 1: it cannot process them all."}, []string{"target"}),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "cowslip_gateway_queue_wait_seconds",
			Help: "Wait for the first event of a stream at its target: as estimated by rank before it was sent, and from sending to the event.", Buckets: latencyBuckets}, []string{"rank", "wait"}),
		reservations: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cowslip_gateway_reservations_total",
			Help: "Places asked for at another target for a stream whose target does not respond, by outcome."}, []string{"service", "outcome"}),
		replaced: prometheus.NewCounter(prometheus.CounterOpts{Name: "cowslip_gateway_connections_replaced_total",
			Help: "Callers' connections without a request that were closed for others, at the limit of connections or of headers."}),
	}
	r.MustRegister(m.requests, m.latency, m.firstByte, m.failed, m.unacked, m.ended, m.sendTimes, m.limited, m.unreached, m.probes, m.moved, m.backoffs, m.answers, m.retries, m.resumed, m.origins, m.answersCut, m.connectionsCut, m.promptFirst, m.promptPause, m.promptShares, m.waits, m.reservations, m.replaced)
	return m
}

func (m *Metrics) connectionsReplaced(n int) { m.replaced.Add(float64(n)) }

func (m *Metrics) observe(e events.RequestSummary) {
	m.requests.WithLabelValues(e.Route, strconv.Itoa(e.Status), string(e.Kind)).Inc()
	m.latency.WithLabelValues(e.Route).Observe(e.Took.Seconds())
	if e.FirstByte > 0 {
		m.firstByte.WithLabelValues(e.Route).Observe(e.FirstByte.Seconds())
	}
}

func (m *Metrics) answerCut(e events.RequestSummary) {
	m.answersCut.WithLabelValues(e.Route, string(e.CutBy)).Inc()
}

func (m *Metrics) answerEnded(service string, f framing.Framing, end framing.End) {
	m.answers.WithLabelValues(service, string(f), string(end)).Inc()
}

func (m *Metrics) sendTime(service string, given bool) {
	m.sendTimes.WithLabelValues(service, strconv.FormatBool(given)).Inc()
}

func (m *Metrics) targetsLimited(n int) { m.limited.Set(float64(n)) }

func (m *Metrics) targetsUnreachable(n int) { m.unreached.Set(float64(n)) }

func (m *Metrics) targetProbed(responded bool) {
	m.probes.WithLabelValues(strconv.FormatBool(responded)).Inc()
}

func (m *Metrics) attemptMoved(service string, unreachable bool) {
	m.moved.WithLabelValues(service, strconv.FormatBool(unreachable)).Inc()
}

func (m *Metrics) placeReserved(service, outcome string) {
	m.reservations.WithLabelValues(service, outcome).Inc()
}

func (m *Metrics) backoffRequested(service string) { m.backoffs.WithLabelValues(service).Inc() }

func (m *Metrics) retryDecided(service string, granted bool) {
	m.retries.WithLabelValues(service, strconv.FormatBool(granted)).Inc()
}

func (m *Metrics) streamResumed(service string, sameAnswer bool) {
	m.resumed.WithLabelValues(service, strconv.FormatBool(sameAnswer)).Inc()
}

func (m *Metrics) originResolved(service string, known bool) {
	m.origins.WithLabelValues(service, strconv.FormatBool(known)).Inc()
}

// waited counts the wait of a request that was queued by rank.
func (m *Metrics) waited(rank int, estimated, actual time.Duration) {
	label := strconv.Itoa(min(rank, request.Ranks-1))
	m.waits.WithLabelValues(label, "estimated").Observe(estimated.Seconds())
	m.waits.WithLabelValues(label, "actual").Observe(actual.Seconds())
}

func (m *Metrics) connectionCut(c inbound.Cut) {
	m.connectionsCut.WithLabelValues(string(c.Reason), string(c.Held)).Inc()
}

func (m *Metrics) attemptUnacknowledged(service string) {
	m.unacked.WithLabelValues(service).Inc()
}

func (m *Metrics) targetEnded(service string, parts, begun bool) {
	m.ended.WithLabelValues(service, strconv.FormatBool(parts), strconv.FormatBool(begun)).Inc()
}

func (m *Metrics) attemptFailed(service string, kind fault.Kind) {
	m.failed.WithLabelValues(service, string(kind)).Inc()
}

// Sizes of prompts in metrics, in tokens.
const (
	shortPrompt  = 1000
	mediumPrompt = 3000
)

// promptSize returns the label of a prompt's size.
func promptSize(tokens int64) string {
	switch {
	case tokens < shortPrompt:
		return "under_1000"
	case tokens < mediumPrompt:
		return "under_3000"
	}
	return "above"
}

func (m *Metrics) promptServed(route string, tokens int64, first, pause time.Duration) {
	size := promptSize(tokens)
	m.promptFirst.WithLabelValues(route, size).Observe(first.Seconds())
	m.promptPause.WithLabelValues(route, size).Observe(pause.Seconds())
}

func (m *Metrics) promptShare(target string, share float64) {
	m.promptShares.WithLabelValues(target).Set(share)
}

func (m *Metrics) dropPromptShare(target string) { m.promptShares.DeleteLabelValues(target) }
