package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/deployment"
	"cowsliptiller/coord/fault"
	"cowsliptiller/platform"
	"cowsliptiller/server/charging"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/view"
)

// Outcomes of a decision, as in rpc.WhereResponse.
const (
	outcomeSend   = "send"
	outcomeWait   = "wait"
	outcomeLoad   = "load"
	outcomeRefuse = "refuse"
)

// maxWhereTokens bounds the numbers of tokens in a question: their sum must not overflow.
const maxWhereTokens = 1 << 40

// decisions implements rpc.Decisions.
type decisions struct{ gateway *Gateway }

// Where implements rpc.Decisions. Errors: fault.InvalidRequest, fault.NotFound for the route or the
// workspace, fault.Stale before the first deployment.
func (d *decisions) Where(_ context.Context, r *rpc.WhereRequest) (*rpc.WhereResponse, error) {
	out, err := d.gateway.where(r)
	return out, rpc.ToTwirp(err)
}

func (g *Gateway) where(r *rpc.WhereRequest) (*rpc.WhereResponse, error) {
	if err := checkWhere(r); err != nil {
		return nil, err
	}
	s := g.config.Source.Current()
	if s == nil || s.Routes == nil {
		return nil, errNoDeployment
	}
	c, err := g.whereCall(r, s.Routes)
	if err != nil {
		return nil, err
	}
	w := &whereAnswer{call: c, out: g.describe(c, s)}
	w.noteInput(r)
	chargeErr := g.previewCharge(w)
	g.preview(func(preview *Gateway) {
		preview.targets.recordOffered(c) // as run does before it decides
		w.decide(newRetryState(preview, c, nil))
	})
	// The serving code checks these before it chooses a target.
	if chargeErr != nil {
		w.refuse(chargeErr)
	}
	if g.isClosed() {
		w.refuse(errClosed)
	}
	if g.index() == nil {
		w.refuseStale(g)
	}
	return w.out, nil
}

// checkWhere returns a fault.InvalidRequest error that names the first wrong field.
func checkWhere(r *rpc.WhereRequest) error {
	switch {
	case r.Host == "":
		return fault.New(fault.InvalidRequest, "host: none given, allowed: the host name of a route")
	case !strings.HasPrefix(r.Path, "/"):
		return fault.New(fault.InvalidRequest, "path: %q given, allowed: a path that begins with /", r.Path)
	case r.PromptTokens < 0 || r.PromptTokens > maxWhereTokens:
		return fault.New(fault.InvalidRequest, "prompt tokens: %d given, allowed: 0 to %d", r.PromptTokens, int64(maxWhereTokens))
	case r.OutputTokens < 0 || r.OutputTokens > maxWhereTokens:
		return fault.New(fault.InvalidRequest, "output tokens: %d given, allowed: 0 to %d", r.OutputTokens, int64(maxWhereTokens))
	case strings.ContainsAny(r.Model, " ,\r\n") || strings.HasPrefix(r.Model, "/") || strings.HasSuffix(r.Model, "/"):
		return fault.New(fault.InvalidRequest, "model: %q given, allowed: MODEL or MODEL/ADAPTER", r.Model)
	case strings.ContainsAny(r.Prefix, " ,:\r\n"):
		return fault.New(fault.InvalidRequest, "prefix: %q given, allowed: the id of one part of a prompt", r.Prefix)
	}
	return nil
}

// whereCall returns the call of the request that is asked about, read and resolved as a caller's.
func (g *Gateway) whereCall(r *rpc.WhereRequest, index *deployment.Index) (*call, error) {
	h := http.Header{}
	h.Set(platform.HeaderRequestID, r.Request)
	h.Set(platform.HeaderModel, r.Model)
	h.Set(platform.HeaderPrefix, r.Prefix)
	if r.TokensKnown {
		h.Set(platform.HeaderTokens, fmt.Sprintf("%d,%d", r.PromptTokens, r.OutputTokens))
	}
	now := g.config.Now()
	c := &call{
		Call: platform.ReadCall(h), http: &http.Request{Method: http.MethodPost, Host: r.Host, RequestURI: r.Path, Header: h},
		index: index, start: now, deadline: now.Add(defaultDeadline),
	}
	err := g.resolve(c, func() (*coordpb.DeploymentWorkspace, error) {
		if r.Workspace == "" {
			return nil, fault.New(fault.InvalidRequest, "workspace: none given, route %q needs one", c.route.Name)
		}
		if w := index.WorkspaceNamed(r.Workspace); w != nil {
			return w, nil
		}
		return nil, fault.New(fault.NotFound, "no workspace %q in deployment version %d", r.Workspace, index.Version)
	})
	return c, err
}

// describe returns an answer without a decision.
func (g *Gateway) describe(c *call, s *view.Snapshot) *rpc.WhereResponse {
	out := &rpc.WhereResponse{
		EntryHost: g.config.Caller.GetHost(), DeploymentVersion: c.index.Version, Revision: s.Revision,
		Route: c.route.Name, Service: c.service.Name, Rank: uint32(c.rank()),
	}
	if c.needsModel() {
		out.Model = c.modelName()
	}
	if g.targets.boardAnswered() {
		out.TableAgeMs = millis(g.targets.boardAge())
	}
	return out
}

// previewCharge previews the charge against the workspace's rate. Errors: those of Gateway.charge.
func (g *Gateway) previewCharge(w *whereAnswer) error {
	c := w.call
	if c.workspace == nil || c.workspace.Rate == 0 {
		return nil
	}
	tokens := c.chargedTokens()
	waits, err := g.rate.Preview(charging.Request{Workspace: c.workspace.Name, Tokens: tokens, Deadline: c.deadline})
	if err != nil {
		return chargeError(err)
	}
	if waits {
		w.waitsFor = fmt.Sprintf("this host has to ask for the %d tokens of workspace %q, which has %d tokens/s", tokens, c.workspace.Name, c.workspace.Rate)
	}
	return nil
}

// preview calls f with a gateway that shares this one's state and decides as this one would decide
// next. f must only decide: it runs with the lock of the targets held. See targets.preview for what is
// copied.
func (g *Gateway) preview(f func(*Gateway)) {
	g.mu.Lock()
	waitDeadline := g.waitDeadline
	g.mu.Unlock()
	t := g.targets
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&Gateway{
		config: g.config, targets: t.preview(), quarantine: g.quarantine, waitDeadline: waitDeadline,
		draining: g.draining, rejectWaits: g.rejectWaits, cancelCalls: g.cancelCalls,
	})
}

// whereAnswer builds the answer about a call.
type whereAnswer struct {
	call     *call
	out      *rpc.WhereResponse
	waitsFor string // what the call waits for before it goes to its target; empty: nothing
	// Targets to which others are preferred: for their rate limit, or because they may be unreachable.
	limited, suspected []string
}

// noteInput notes what the decision does not consider.
func (w *whereAnswer) noteInput(r *rpc.WhereRequest) {
	c := w.call
	switch {
	case r.Model != "" && !c.service.RunsModels():
		w.note("service %q runs no models: the model is not considered", c.service.Name)
	case r.Model == "" && c.service.RunsModels():
		w.note("the request names no model: any target of service %q may take it", c.service.Name)
	case c.needsModel() && c.service.Models[c.Model] == nil:
		w.note("model %q is not configured for service %q", c.Model, c.service.Name)
	}
	if r.Workspace != "" && c.workspace == nil {
		w.note("route %q takes requests without a key: the workspace is not considered", c.route.Name)
	}
	if len(c.route.Services) > 1 && r.Request == "" {
		w.note("route %q selects its service by the request's id, and none is given", c.route.Name)
	}
}

func (w *whereAnswer) note(format string, args ...any) {
	w.out.Notes = append(w.out.Notes, fmt.Sprintf(format, args...))
}

// decide explains the next decision on the call, which t decides over a preview.
func (w *whereAnswer) decide(t *retryState) {
	w.out.Contended = t.gateway.targets.contended(w.call.service.Name)
	d := t.decide()
	var placed placedPrompt
	for d.step == stepSend {
		placed = t.gateway.targets.previewPlace(w.call, d.target)
		err := t.checkSend(placed.target)
		if err == nil || err == errLeaseLapsed {
			break
		}
		t.excluded = append(t.excluded, placed.target.Instance)
		t.fail(err)
		d = t.decide()
	}
	switch d.step {
	case stepSend:
		w.send(t, d, placed)
	case stepRefuse:
		w.refuse(t.untilBackoffEnds(d.err))
	case stepLoadAdapter:
		w.choose(outcomeLoad, d.target.Instance, 0, "it holds the model; its agent is asked for adapter %q", w.call.Adapter)
	default:
		w.loadOrRefuse(t, d)
	}
	w.addCandidates(t)
}

func (w *whereAnswer) choose(outcome, target string, wait time.Duration, format string, args ...any) {
	w.out.Outcome, w.out.Target, w.out.WaitMs = outcome, target, millis(wait)
	w.out.Reason = fmt.Sprintf(format, args...)
}

// send explains a call that has a target.
func (w *whereAnswer) send(t *retryState, d decision, placed placedPrompt) {
	p := placed.target
	outcome := outcomeSend
	wait := t.gateway.targets.queueWait(p)
	if wait > 0 {
		outcome = outcomeWait
		w.note("it waits some %v in the target's queue", wait.Round(time.Millisecond))
	}
	if placed.held != nil {
		outcome = outcomeWait
		w.note("target %s: it would be held back for room for its prompt, for %v at most", p.Instance, placed.limit.Round(time.Millisecond))
	}
	if why := t.paceAt(p); why.applies() {
		outcome = outcomeWait
		w.note("target %s %v: it waits for a send time, which is not asked for here", p.Instance, why)
	}
	if w.waitsFor != "" {
		outcome = outcomeWait
		w.note("%s", w.waitsFor)
	}
	w.choose(outcome, p.Instance, wait, "%s", w.whyChosen(t, d, p.Instance))
}

func (w *whereAnswer) whyChosen(t *retryState, d decision, instance string) string {
	if d.target.Instance != instance {
		return fmt.Sprintf("it has room for the prompt: target %s, chosen before, has none", d.target.Instance)
	}
	if d.picked.Instance != d.target.Instance {
		return fmt.Sprintf("shortest estimated wait of all: the queue of %s, chosen of two random candidates, is too long", d.picked.Instance)
	}
	free := 0
	for _, candidate := range t.gateway.targets.router.Candidates(d.target.query, t.gateway.config.Now()) {
		if candidate.Target == d.target.Instance && candidate.Affinity {
			return "this host used it last for the same prefix or adapter"
		}
		if candidate.Rejection == "" {
			free++
		}
	}
	if free <= 1 {
		return "the only target that may take the request"
	}
	return "the better of two random candidates: another request may draw others"
}

// loadOrRefuse explains a call for which no target holds what it needs.
func (w *whereAnswer) loadOrRefuse(t *retryState, d decision) {
	g := t.gateway
	if wait, incomplete := t.targetsWait(); incomplete {
		if left := g.recoveryTime(w.call, wait); left > 0 {
			w.choose(outcomeWait, "", left, "this host's target table is incomplete; the request waits for it")
			return
		}
	}
	if d.step == stepNoTarget {
		w.refuse(t.untilBackoffEnds(d.err))
		return
	}
	list := g.targets.loadCandidates(w.call, t.excluded)
	if len(list) == 0 {
		w.refuse(t.untilBackoffEnds(noLoadTarget(w.call)))
		return
	}
	forecast := loadTimes(w.call).Forecast(list[0])
	w.choose(outcomeLoad, list[0].Instance, forecast, "no target holds model %q; this one could hold it first, and its agent decides", w.call.modelName())
	if limit := t.modelWaitLimit(); forecast > limit {
		w.note("the forecast of %v exceeds the %v that the request may wait: the agent is expected to refuse it", forecast.Round(time.Millisecond), limit.Round(time.Millisecond))
	}
}

// refuse replaces the outcome by a refusal.
func (w *whereAnswer) refuse(err error) {
	f := fault.From(err)
	w.choose(outcomeRefuse, "", 0, "%s", f.Message)
	w.out.Kind, w.out.RetryAfterMs = string(f.Kind), millis(retryAfter(f))
	for _, candidate := range w.out.Candidates {
		if candidate.Verdict == verdictChosen {
			candidate.Verdict = verdictPossible
		}
	}
}

// refuseStale explains a call that comes while this host's lease has lapsed.
func (w *whereAnswer) refuseStale(g *Gateway) {
	wait := recoveryWait{missing: "deployment", outage: g.config.Source.Silent(g.config.Now()), limit: defaultDeadline}
	left := g.recoveryTime(w.call, wait)
	if left == 0 {
		w.refuse(errNoDeployment)
		return
	}
	w.refuse(errNoDeployment)
	w.choose(outcomeWait, "", left, "this host's lease has lapsed; the request waits for control, and is refused as stale afterwards")
	w.out.Kind, w.out.RetryAfterMs = "", 0
}

// millis returns a duration in whole milliseconds, 0 for a negative one.
func millis(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), 1<<31))
}
