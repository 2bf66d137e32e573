package gateway

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"cowsliptiller/coord/routing"
	"cowsliptiller/coord/targetstatus"
	"cowsliptiller/server/rpc"
)

// Verdicts on a candidate, as in rpc.WhereCandidate.
const (
	verdictChosen   = "chosen"
	verdictPossible = "possible"
	verdictRejected = "rejected"
)

// States of a model at a target, as in rpc.WhereCandidate.
const (
	modelHeld        = "held"
	modelNoAdapter   = "held_without_adapter"
	modelLoading     = "loading"
	modelPending     = "pending"
	modelCached      = "cached"
	modelAbsent      = "absent"
	maxWhereListed   = 500 // candidates in an answer; the others are counted
	reasonNotChosen  = "not one of the two drawn, or its estimated wait is not shorter"
	reasonNotReached = "not the first to hold the model"
)

// addCandidates lists the targets of the call's service.
func (w *whereAnswer) addCandidates(t *retryState) {
	targets, now := t.gateway.targets, t.gateway.config.Now()
	q, _ := targets.routingRequest(w.call, now)
	w.limited, w.suspected = targets.rateLimits.Avoid(now), targets.reachability.Suspected(now)
	q.Exclude = t.excluded
	holders := map[string]routing.Candidate{}
	for _, candidate := range targets.router.Candidates(q, now) {
		holders[candidate.Target] = candidate
	}
	// A load is not decided by when the request would end.
	q.Name, q.RunTime = routing.ServiceName(w.call.service.Name), 0
	var list []*rpc.WhereCandidate
	for _, candidate := range targets.router.Candidates(q, now) {
		s := targets.table.Get(candidate.Target)
		if s == nil {
			continue
		}
		candidate.Affinity = false
		if holder, holds := holders[candidate.Target]; holds {
			candidate = holder
		}
		list = append(list, w.candidate(t, candidate, s, now))
	}
	slices.SortStableFunc(list, compareCandidates)
	listed := min(len(list), maxWhereListed)
	w.out.Candidates, w.out.CandidatesOmitted = list[:listed], uint32(len(list)-listed)
}

// compareCandidates orders candidates: the chosen one, those that hold the model, the others.
func compareCandidates(a, b *rpc.WhereCandidate) int {
	return cmp.Or(
		cmp.Compare(verdictOrder(a.Verdict), verdictOrder(b.Verdict)),
		cmp.Compare(modelOrder(a.ModelState), modelOrder(b.ModelState)),
		cmp.Compare(a.LoadForecastMs, b.LoadForecastMs),
		cmp.Compare(a.EstimatedWait, b.EstimatedWait),
		strings.Compare(a.Instance, b.Instance),
	)
}

func verdictOrder(verdict string) int {
	return slices.Index([]string{verdictChosen, verdictPossible, verdictRejected}, verdict)
}

func modelOrder(state string) int {
	return slices.Index([]string{modelHeld, modelNoAdapter, modelLoading, modelPending, modelCached, modelAbsent}, state)
}

func (w *whereAnswer) candidate(t *retryState, c routing.Candidate, s *targetstatus.Status, now time.Time) *rpc.WhereCandidate {
	targets := t.gateway.targets
	p := destination{Status: *s, rank: w.call.rank(), demand: w.call.demandName()}
	out := &rpc.WhereCandidate{
		Instance: s.Instance, FailureDomain: s.FailureDomain, Running: uint32(s.Running), Queued: uint32(s.Queued), Slots: uint32(s.Slots),
		InFlight: uint32(c.InFlight), Load: c.Load, EstimatedWait: c.EstimatedWait, QueueWaitMs: millis(targets.queueWait(p)),
		SlowdownRatio: c.SlowdownRatio, CircuitShare: c.CircuitShare, RateLimitPerS: targets.rateLimit(s.Instance).Rate(),
		BackoffMs: millis(targets.router.Backoff(s.Instance, now)), SpeedPercent: uint32(targets.withSpeed(*s, now).SpeedPercent),
	}
	if !c.ReportedAt.IsZero() {
		out.Reported, out.ReportAgeMs = true, millis(now.Sub(c.ReportedAt))
	}
	if w.call.needsModel() {
		out.ModelState = modelState(w.call, s)
		if out.ModelState != modelHeld && out.ModelState != modelNoAdapter {
			out.LoadForecastMs = millis(loadTimes(w.call).Forecast(*s))
		}
	}
	w.judge(t, c, s, out)
	return out
}

// judge sets the verdict on a candidate and its reasons.
func (w *whereAnswer) judge(t *retryState, c routing.Candidate, s *targetstatus.Status, out *rpc.WhereCandidate) {
	out.Verdict = verdictPossible
	switch {
	case s.Instance == w.out.Target:
		out.Verdict = verdictChosen
		out.Reasons = append(out.Reasons, w.out.Reason)
	case c.Rejection != "":
		out.Verdict = verdictRejected
		out.Reasons = append(out.Reasons, string(c.Rejection))
	default:
		out.Verdict, out.Reasons = w.judgeHealthy(t, s, out)
	}
	out.Reasons = append(out.Reasons, w.remarks(t, c, s)...)
}

// judgeHealthy returns the verdict on a target that accepts requests and is not chosen.
func (w *whereAnswer) judgeHealthy(t *retryState, s *targetstatus.Status, out *rpc.WhereCandidate) (verdict string, reasons []string) {
	wait := time.Duration(out.QueueWaitMs) * time.Millisecond
	holds := out.ModelState == "" || out.ModelState == modelHeld
	switch {
	case holds && t.limitsQueue() && !t.shouldQueue(wait):
		return verdictRejected, []string{fmt.Sprintf("its queue of %v is longer than the request may wait", wait)}
	case holds:
		return verdictPossible, []string{reasonNotChosen}
	case w.out.Outcome != outcomeLoad:
		return verdictRejected, []string{fmt.Sprintf("it does not hold model %q", w.call.modelName())}
	case !t.gateway.targets.mayLoad(w.call, s):
		return verdictRejected, []string{"no agent has reported for it, so that it can load no model"}
	}
	return verdictPossible, []string{reasonNotReached}
}

// remarks returns what else the decision considers of a target.
func (w *whereAnswer) remarks(t *retryState, c routing.Candidate, s *targetstatus.Status) (out []string) {
	targets, now := t.gateway.targets, t.gateway.config.Now()
	if backoff := targets.router.Backoff(s.Instance, now); backoff > 0 {
		out = append(out, fmt.Sprintf("in backoff for %v", backoff.Round(time.Millisecond)))
	}
	if c.CircuitShare > 0 && c.CircuitShare < 1 {
		out = append(out, fmt.Sprintf("recovering from failures: gets %.0f %% of its requests", 100*c.CircuitShare))
	}
	if why := t.paceAt(destination{Status: *s}); why.applies() {
		out = append(out, why.String())
	}
	if slices.Contains(w.limited, s.Instance) {
		out = append(out, "others are preferred because of its rate limit")
	}
	if slices.Contains(w.suspected, s.Instance) {
		out = append(out, "others are preferred: it has not responded to a probe yet")
	}
	if c.Affinity {
		out = append(out, "used last for the same prefix or adapter")
	}
	return out
}

// modelState returns the state of a call's model at a target.
func modelState(c *call, s *targetstatus.Status) string {
	for _, m := range s.Models {
		if m.Name == c.Model && (c.Adapter == "" || slices.Contains(m.Adapters, c.Adapter)) {
			return modelHeld
		}
		if m.Name == c.Model {
			return modelNoAdapter
		}
	}
	switch {
	case s.Loading == c.Model:
		return modelLoading
	case slices.Contains(s.PendingModels, c.Model):
		return modelPending
	case slices.Contains(s.CachedModels, c.Model):
		return modelCached
	}
	return modelAbsent
}
