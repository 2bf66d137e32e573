package gateway

import (
	"context"
	"math"
	"slices"
	"time"

	"cowsliptiller/coord/promptwork"
	"cowsliptiller/coord/request"
	"cowsliptiller/coord/targetstatus"
)

// tokensPerEvent is the mean number of output tokens that an event holds: 7 or 8.
const tokensPerEvent = 7.5

// promptState is what this host knows of prompts. The targets' mu guards it.
type promptState struct {
	rates    *promptwork.Rates
	pacer    *promptwork.Pacer
	released map[*promptwork.Held]chan struct{} // closed when a request that is held back may be sent
	shown    map[string]bool                    // instances whose share is a metric
}

func newPromptState() promptState {
	return promptState{
		rates: promptwork.NewRates(), pacer: promptwork.NewPacer(),
		released: map[*promptwork.Held]chan struct{}{}, shown: map[string]bool{},
	}
}

// sentPrompt is a call's prompt at a target: to be sent there, or sent and without a first event.
type sentPrompt struct {
	entry      *promptwork.Entry
	queueFound bool // the target had a queue when it was chosen
}

// countsPrompt reports whether a call is placed by its prompt. The caller holds mu.
func (t *targets) countsPrompt(c *call) bool {
	return c.service != nil && c.route.Streaming && c.needsModel() && c.HasTokenCounts && c.PromptTokens > 0 && t.contended(c.service.Name)
}

// rateName is the name of a call's model in promptwork.Rates.
func rateName(c *call) string { return c.service.Name + ":" + c.Model }

// perToken returns the seconds that a token of the call's prompt takes at usual speed; 0: not known, or the call is
// not placed by its prompt. The caller holds mu.
func (t *targets) perToken(c *call) float64 {
	if !t.countsPrompt(c) {
		return 0
	}
	return t.secondsPerToken(rateName(c))
}

// secondsPerToken returns the seconds that a prompt token of a model, or of a service, takes at usual speed; 0: not
// known. The caller holds mu.
func (t *targets) secondsPerToken(name string) float64 {
	const many = 100_000 // for the resolution of a duration
	return t.prompts.rates.PromptTime(name, many).Seconds() / many
}

// promptCost returns the function that compares targets for a call by its prompt; nil: the estimated wait
// decides. The caller holds mu, now and when it calls the function.
func (t *targets) promptCost(c *call) func(instance string) float64 {
	work := promptwork.Work{PerToken: t.perToken(c), Tokens: c.PromptTokens}
	if work.PerToken == 0 {
		return nil
	}
	return func(instance string) float64 {
		s := t.table.Get(instance)
		if s == nil {
			return math.Inf(1)
		}
		return promptwork.Cost(t.promptTarget(s, c.rank()), work)
	}
}

// promptTarget returns what the cost of a target depends on for a request of a rank. The caller holds mu.
func (t *targets) promptTarget(s *targetstatus.Status, rank int) promptwork.Target {
	p := t.promptLoad(s)
	p.Wait = t.rankedWait(s, rank, t.config.Now())
	return p
}

// promptLoad returns what the share of time that a target spends on prompts depends on. The caller holds mu.
func (t *targets) promptLoad(s *targetstatus.Status) promptwork.Target {
	return promptwork.Target{
		Speed: t.speedFactor(s.Instance), OwnTokens: t.prompts.pacer.Tokens(s.Instance),
		TokensPerSecond: float64(s.PromptTokensPerSecond), ReportAge: t.config.Now().Sub(t.updatedAt),
	}
}

// promptBound returns how many prompt tokens for a call's model may be on their way to a target; 0: any number. The
// caller holds mu.
func (t *targets) promptBound(c *call, instance string) int64 {
	return promptwork.Bound(t.perToken(c), t.speedFactor(instance), c.index.TightestPause(c.service.Name))
}

// placedPrompt is where a call's prompt goes, and whether it must wait before.
type placedPrompt struct {
	target   destination
	held     *promptwork.Held // nil: it may be sent now
	released <-chan struct{}  // closed when held may be sent
	limit    time.Duration    // after which it is sent all the same
}

// placePrompt counts a call's prompt at the target that was chosen for it, or at another one if this one has no
// room. If none has, the prompt is held back.
func (t *targets) placePrompt(c *call, p destination) placedPrompt {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.countsPrompt(c) {
		return placedPrompt{target: p}
	}
	if !t.suitsPrompt(c, p.Instance) {
		p = t.elsewhere(c, p)
	}
	bound, pacer := t.promptBound(c, p.Instance), t.prompts.pacer
	limit := t.maxPromptHold(c, p.Instance)
	p.prompt = &sentPrompt{queueFound: p.Queued > 0 || p.Running >= p.Slots}
	if limit <= 0 || t.hasPromptRoom(c, p.Instance) {
		p.prompt.entry = pacer.Begin(p.Instance, c.PromptTokens)
		return placedPrompt{target: p}
	}
	held, released := pacer.Hold(p.Instance, c.rank(), c.PromptTokens, bound), make(chan struct{})
	t.prompts.released[held] = released
	return placedPrompt{target: p, held: held, released: released, limit: limit}
}

// hasPromptRoom reports whether a call's prompt may be sent to a target now. The caller holds mu.
func (t *targets) hasPromptRoom(c *call, instance string) bool {
	return t.prompts.pacer.HasRoom(instance, c.rank(), c.PromptTokens, t.promptBound(c, instance))
}

// suitsPrompt reports whether a call's prompt may be sent to a target now and is within its bound. The caller holds
// mu.
func (t *targets) suitsPrompt(c *call, instance string) bool {
	return t.prompts.pacer.Suits(instance, c.rank(), c.PromptTokens, t.promptBound(c, instance))
}

// elsewhere returns another target that suits a call's prompt and has no longer queue; p if there is none. A prompt
// above all bounds stays: sent alone elsewhere at once it would delay other streams, and begin little sooner. Only
// targets that hold all that the call needs are considered. The caller holds mu.
func (t *targets) elsewhere(c *call, p destination) destination {
	if p.query.Name != c.routingName() {
		return p
	}
	q := p.query
	q.Exclude = slices.Clone(q.Exclude)
	q.NoProbe, q.HealthyOnly = true, true
	for id, s := range t.table.All() {
		if s.Service == c.service.Name && !t.suitsPrompt(c, id) {
			q.Exclude = append(q.Exclude, id)
		}
	}
	id, found := t.router.Pick(q, t.config.Now())
	s := t.table.Get(id)
	if !found || s == nil || t.rankedWait(s, c.rank(), t.config.Now()) > t.rankedWait(&p.Status, c.rank(), t.config.Now()) {
		return p
	}
	p.Status = *s
	return p
}

// maxPromptHold returns how long a call's prompt may be held back from a target. The caller holds mu.
func (t *targets) maxPromptHold(c *call, instance string) time.Duration {
	latency := time.Duration(c.route.LatencyMs) * time.Millisecond
	prefill := time.Duration(float64(t.prompts.rates.PromptTime(rateName(c), c.PromptTokens)) * t.speedFactor(instance))
	spent := t.config.Now().Sub(c.start)
	queued := time.Duration(0)
	if s := t.table.Get(instance); s != nil {
		queued = t.rankedWait(s, c.rank(), t.config.Now())
	}
	return promptwork.MaxHold(latency, prefill+queued, spent, request.MaxQueueWait(spent, latency, c.waitLimit())-queued)
}

// endHold ends the wait of a held prompt: it is sent now, or canceled.
func (t *targets) endHold(h placedPrompt, canceled bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.prompts.released, h.held)
	if canceled {
		t.release(t.prompts.pacer.Cancel(h.held))
		return
	}
	t.prompts.pacer.Force(h.held)
	h.target.prompt.entry = h.held.Entry
}

// endPrompt ends the count of a prompt, if it is counted.
func (t *targets) endPrompt(p *sentPrompt) {
	if p == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endPromptLocked(p)
}

// endPromptLocked is endPrompt for a caller that holds mu.
func (t *targets) endPromptLocked(p *sentPrompt) {
	if p != nil {
		t.release(t.prompts.pacer.End(p.entry))
	}
}

// release lets held prompts be sent. The caller holds mu.
func (t *targets) release(list []*promptwork.Held) {
	for _, h := range list {
		if released, waits := t.prompts.released[h]; waits {
			close(released)
			delete(t.prompts.released, h)
		}
	}
}

// startPrompt counts the prompt of an attempt that was not placed by placePrompt: a second attempt. It returns
// nil for a call that is not placed by its prompt.
func (t *targets) startPrompt(c *call, p destination) *sentPrompt {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.prompt != nil || !t.countsPrompt(c) {
		return p.prompt
	}
	return &sentPrompt{entry: t.prompts.pacer.Begin(p.Instance, c.PromptTokens), queueFound: true}
}

// recordFirstEvent records that the target of an attempt has sent its first event.
func (t *targets) recordFirstEvent(c *call, a *attempt) {
	p := a.target
	if p.prompt == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endPromptLocked(p.prompt)
	if !p.prompt.queueFound && !continues(c, a) {
		t.prompts.rates.RecordFirstEvent(rateName(c), c.PromptTokens, t.config.Now().Sub(a.began), t.speedFactor(p.Instance))
	}
}

// recordOutput records how long the target of an attempt took from its first event to the end of the answer.
func (t *targets) recordOutput(c *call, a *attempt, took time.Duration) {
	if a.target.prompt == nil || a.number > 1 || a.events < 2 || continues(c, a) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	tokens := int64(tokensPerEvent * float64(a.events-1))
	t.prompts.rates.RecordRun(rateName(c), tokens, took, t.speedFactor(a.target.Instance))
}

// continues reports whether an attempt continues a stream: its prompt may be cached, and its time says nothing.
func continues(c *call, a *attempt) bool { return a.lastEvent != "" || c.LastEvent != "" }

// showPromptShares updates the metric of the share of time that targets spend on prompts. The caller holds mu.
func (t *targets) showPromptShares() {
	shown := map[string]bool{}
	for id, s := range t.table.All() {
		perToken := t.secondsPerToken(s.Service)
		if perToken == 0 || !t.contended(s.Service) {
			continue
		}
		shown[id] = true
		t.config.Metrics.promptShare(id, t.promptLoad(s).Share(perToken))
	}
	for id := range t.prompts.shown {
		if !shown[id] {
			t.config.Metrics.dropPromptShare(id)
		}
	}
	t.prompts.shown = shown
}

// pacePrompt waits until the call's prompt may be sent: to the target that was chosen, or to another one that has room
// for it. Errors: those of contextError.
func (t *retryState) pacePrompt(ctx context.Context, p destination) (destination, error) {
	g := t.gateway
	g.targets.endPrompt(t.prompt) // of a target that was chosen before
	placed := g.targets.placePrompt(t.call, p)
	t.prompt = placed.target.prompt
	if placed.held == nil {
		return placed.target, nil
	}
	began := g.config.Now()
	timer := time.NewTimer(placed.limit)
	defer timer.Stop()
	end := "room"
	select {
	case <-placed.released:
	case <-timer.C:
		end = "time_limit"
	case <-ctx.Done():
	}
	if ctx.Err() != nil {
		end = "canceled"
	}
	g.targets.endHold(placed, ctx.Err() != nil)
	g.config.Events.PromptHeld(t.call.RequestID, placed.target.Instance, t.call.PromptTokens, g.config.Now().Sub(began), placed.limit, end)
	if ctx.Err() != nil {
		return placed.target, contextError(ctx)
	}
	return placed.target, nil
}

// recordPause records the time between two events that were sent to the caller.
func (c *call) recordPause(pause time.Duration) { c.widestPause = max(c.widestPause, pause) }

// observePrompt updates the metrics of a stream that has begun, if its call is placed by its prompt.
func (g *Gateway) observePrompt(c *call) {
	g.targets.mu.Lock()
	counts := g.targets.countsPrompt(c)
	g.targets.mu.Unlock()
	if counts && c.record.FirstByte > 0 && c.record.Status/100 == 2 {
		g.config.Metrics.promptServed(c.record.Route, c.PromptTokens, c.record.FirstByte, c.widestPause)
	}
}
