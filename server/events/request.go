package events

import (
	"time"

	"cowsliptiller/coord/fault"
)

// Ended is the last line of a request at its entry host.
type Ended struct {
	Request    string
	Route      string
	Service    string
	Workspace  string
	Model      string
	Status     int
	Kind       fault.Kind // empty: served
	Cause      string
	Ran        fault.Ran
	Target     string // that answered, or was tried last
	Attempts   int
	Took       time.Duration
	First      time.Duration // to the first byte of the answer; 0: none came
	RetryAfter time.Duration
	Version    uint64 // of the deployment that decided
	Tokens     int64  // charged, or asked for, against the workspace's rate
	Rate       int64  // of the workspace, tokens a second; 0: no limit
	ViewAge    time.Duration
}

// RequestEnded says how a request ended. Served ones are sampled.
func (l *Log) RequestEnded(e Ended) {
	if e.Kind == "" && !Sampled(e.Request) {
		return
	}
	l.say("request_ended", "request", e.Request, "route", e.Route, "service", e.Service, "workspace", e.Workspace,
		"model", e.Model, "status", e.Status, "kind", string(e.Kind), "cause", e.Cause, "ran", string(e.Ran),
		"target", e.Target, "attempts", e.Attempts, "took_ms", e.Took.Milliseconds(), "first_ms", e.First.Milliseconds(),
		"retry_after_ms", e.RetryAfter.Milliseconds(), "deployment", e.Version, "tokens", e.Tokens, "rate", e.Rate, "board_age_ms", e.ViewAge.Milliseconds())
}

// AttemptFailed says why an attempt at a target did not serve a request, and whether
// another one follows.
func (l *Log) AttemptFailed(request, target string, attempt int, ran fault.Ran, cause string, again bool) {
	l.say("attempt_failed", "request", request, "target", target, "attempt", attempt, "ran", string(ran), "cause", cause, "again", again)
}

// OutageAwaited says that a request waits for what this host does not know yet, and for
// how long the host has been without it.
func (l *Log) OutageAwaited(request, missing string, outage, limit time.Duration) {
	if Sampled(request) {
		l.say("outage_awaited", "request", request, "missing", missing, "outage_ms", outage.Milliseconds(), "limit_ms", limit.Milliseconds())
	}
}

// ModelAwaited says that a request waits for a model at a target.
func (l *Log) ModelAwaited(request, model, target string, limit time.Duration) {
	if Sampled(request) {
		l.say("model_awaited", "request", request, "model", model, "target", target, "limit_ms", limit.Milliseconds())
	}
}

// ModelRefused says that a target's agent does not get a model ready in time.
func (l *Log) ModelRefused(request, model, target, reason string, retryAfter time.Duration) {
	l.say("model_refused", "request", request, "model", model, "target", target, "reason", reason, "retry_after_ms", retryAfter.Milliseconds())
}

// StreamResumed says that a stream goes on at another target.
func (l *Log) StreamResumed(request, from, event, cause string) {
	l.say("stream_resumed", "request", request, "from", from, "after_event", event, "cause", cause)
}
