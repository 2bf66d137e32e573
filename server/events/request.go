package events

import (
	"time"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/framing"
	"cowsliptiller/coord/request"
)

// RequestSummary holds the fields of the event request_ended, the last line of a request at its
// entry host.
type RequestSummary struct {
	Request    string
	Route      string
	Service    string
	Workspace  string
	Model      string
	Status     int
	Kind       fault.Kind // kind of the error; empty: served
	Cause      string
	Ran        fault.Ran
	Target     string // target that answered, or the last one that was tried
	Attempts   int
	Took       time.Duration
	FirstByte  time.Duration // time to the first byte of the response; 0: no response
	RetryAfter time.Duration
	Version    uint64 // version of the deployment that the request was handled with
	Tokens     int64  // tokens charged to the workspace's rate limit, or requested from it
	Rate       int64  // rate limit of the workspace, in tokens per second; 0: no limit
	ViewAge    time.Duration
	Framing    framing.Framing // of the target's answer; empty: none was forwarded
	AnswerEnd  framing.End     // how the target's answer ended; empty: none was read to its end
	// Sender is the state of the target's process after a close-delimited answer; empty for other answers.
	Sender        framing.Liveness
	TargetLeaving bool   // the target had announced its shutdown; set with Sender
	CutBy         Party  // who ended an answer that had begun and was not complete; empty: none
	Parts         string // ids of the parts of its prompt for which it was refused; shortened
	// EstimatedWait is how long the request was expected to be queued at the target that was chosen last; 0:
	// not at all, or it was not estimated by rank.
	EstimatedWait time.Duration
}

// Party is a party to a request.
type Party string

// The parties.
const (
	ByCaller   Party = "caller"
	ByTarget   Party = "target"
	ByHost     Party = "host"     // this entry host
	ByDeadline Party = "deadline" // the time limit passed
)

// truncated reports whether the target's answer was not complete.
func (e RequestSummary) truncated() bool { return e.AnswerEnd != "" && e.AnswerEnd != framing.Complete }

// unconfirmed reports whether the answer was close-delimited and its sender was not found running.
func (e RequestSummary) unconfirmed() bool { return e.Sender != "" && e.Sender != framing.Running }

// RequestEnded logs the result of a request. Requests that were served completely are sampled, unless
// their answer is unconfirmed.
func (l *Log) RequestEnded(e RequestSummary) {
	if e.Kind == "" && !e.truncated() && !e.unconfirmed() && !Sampled(e.Request) {
		return
	}
	fields := []any{"request", e.Request, "route", e.Route, "service", e.Service, "workspace", e.Workspace,
		"model", e.Model, "status", e.Status, "kind", string(e.Kind), "cause", e.Cause, "ran", string(e.Ran),
		"target", e.Target, "attempts", e.Attempts, "took_ms", e.Took.Milliseconds(), "first_ms", e.FirstByte.Milliseconds(),
		"retry_after_ms", e.RetryAfter.Milliseconds(), "deployment", e.Version, "tokens", e.Tokens, "rate", e.Rate, "board_age_ms", e.ViewAge.Milliseconds(),
		"framing", string(e.Framing), "answer_end", string(e.AnswerEnd), "cut_by", string(e.CutBy), "parts", e.Parts}
	if e.Sender != "" {
		fields = append(fields, "sender", string(e.Sender), "target_leaving", e.TargetLeaving)
	}
	if e.EstimatedWait > 0 {
		fields = append(fields, "estimated_wait_ms", e.EstimatedWait.Milliseconds())
	}
	l.emit("request_ended", fields...)
}

// FailedAttempt holds the fields of the event attempt_failed.
type FailedAttempt struct {
	Request string
	Target  string
	Attempt int // number of the attempt, from 1
	Ran     fault.Ran
	Cause   string
	// Unacknowledged is how many bytes the target had not acknowledged when the attempt was
	// canceled; 0: it was not canceled or had received all, -1: not known.
	Unacknowledged int
	TargetEnded    bool   // the target's process ended during the attempt
	Fingerprint    string // of the request's content, if TargetEnded
	Parts          string // ids of the parts of its prompt that other requests may share, if TargetEnded; shortened
	Events         uint64 // that this attempt brought
	Again          bool   // another attempt follows
	// Framing and AnswerEnd are of the target's answer, as in RequestSummary.
	Framing   framing.Framing
	AnswerEnd framing.End
}

// AttemptFailed logs why an attempt at a target did not serve a request.
func (l *Log) AttemptFailed(a FailedAttempt) {
	l.emit("attempt_failed", "request", a.Request, "target", a.Target, "attempt", a.Attempt, "ran", string(a.Ran), "cause", a.Cause,
		"unacked_bytes", a.Unacknowledged, "target_ended", a.TargetEnded, "fingerprint", a.Fingerprint, "parts", a.Parts, "again", a.Again,
		"framing", string(a.Framing), "answer_end", string(a.AnswerEnd), "events", a.Events)
}

// AttemptMoved logs that an attempt is canceled because another target continues its call: it has begun to answer,
// or is sent the rest of a stream next, for which it may have reserved a place.
func (l *Log) AttemptMoved(request, target, to string, unreachable, reserved bool) {
	l.emit("attempt_moved", "request", request, "target", target, "to", to, "unreachable", unreachable, "reserved", reserved)
}

// ClaimUnanswered logs that control did not answer a claim in time: how often it was asked, how the last
// request to it failed, and after how long the call was refused. The call was not sent to a target.
func (l *Log) ClaimUnanswered(request string, questions int, last fault.Kind, took time.Duration) {
	l.emit("claim_unanswered", "request", request, "questions", questions, "last", last, "took_ms", took.Milliseconds())
}

// OutageAwaited logs that a request waits for missing information, for how long this
// host has been without it, and how long the request waits at most.
func (l *Log) OutageAwaited(request, missing string, outage, limit time.Duration) {
	if Sampled(request) {
		l.emit("outage_awaited", "request", request, "missing", missing, "outage_ms", outage.Milliseconds(), "limit_ms", limit.Milliseconds())
	}
}

// ModelAwaited logs that a request waits for a target to load a model, at most for limit.
func (l *Log) ModelAwaited(request, model, target string, limit time.Duration) {
	if Sampled(request) {
		l.emit("model_awaited", "request", request, "model", model, "target", target, "limit_ms", limit.Milliseconds())
	}
}

// ModelRefused logs that a target's agent cannot have a model ready in time.
func (l *Log) ModelRefused(request, model, target, reason string, retryAfter time.Duration) {
	l.emit("model_refused", "request", request, "model", model, "target", target, "reason", reason, "retry_after_ms", retryAfter.Milliseconds())
}

// SendTimeRefused logs that a request gets no send time at a target that warms up or announces a
// rate limit, and after how long one is free.
func (l *Log) SendTimeRefused(request, target, reason string, retryAfter time.Duration) {
	l.emit("send_time_refused", "request", request, "target", target, "reason", reason, "retry_after_ms", retryAfter.Milliseconds())
}

// PromptHeld logs that a request was held back at this host because of the prompts on their way to its target: for how
// long, for how long at most, and what ended the wait (room, time_limit, canceled).
func (l *Log) PromptHeld(request, target string, tokens int64, waited, limit time.Duration, end string) {
	l.emit("prompt_held", "request", request, "target", target, "prompt_tokens", tokens, "waited_ms", waited.Milliseconds(),
		"limit_ms", limit.Milliseconds(), "end", end)
}

// RetryDecided logs whether a request may be retried, and the figures of the fleet's budget that
// decided it.
func (l *Log) RetryDecided(id, service string, d request.RetryDecision) {
	l.emit("retry_decided", "request", id, "service", service, "granted", d.Granted, "hosts", d.Fleet.Hosts,
		"settled", d.Fleet.Settled, "used", d.Used, "allowed", d.Allowed)
}

// ResumedStream holds the fields of the event stream_resumed.
type ResumedStream struct {
	Request         string
	Began           string // request that the stream began with; empty: the caller did not say
	AfterEvent      string // id of the last event that the caller has
	Target          string
	SoftwareVersion string // of the target; empty: not known
	SameAnswer      bool   // the stream broke off in this request's answer
}

// OriginResolved logs the software version at which a stream that a caller resumes may continue, and
// the target that began it; both are empty if they are not known.
func (l *Log) OriginResolved(id, began, target, version string) {
	l.emit("stream_version_resolved", "request", id, "began", began, "began_at", target, "software_version", version)
}

// StreamResumed logs that a stream is resumed at a target.
func (l *Log) StreamResumed(r ResumedStream) {
	l.emit("stream_resumed", "request", r.Request, "began", r.Began, "after_event", r.AfterEvent, "target", r.Target,
		"software_version", r.SoftwareVersion, "same_answer", r.SameAnswer)
}
