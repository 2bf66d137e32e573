package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/deployment"
	"cowsliptiller/coord/routing"
	"cowsliptiller/coord/targetstatus"
	"cowsliptiller/platform"
	"cowsliptiller/server/events"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/view"
)

// LearnPromptTime has the gateway know how long prompts of a model, named "service:model", take.
func (g *Gateway) LearnPromptTime(model string, tokens int64, after time.Duration) {
	g.targets.mu.Lock()
	defer g.targets.mu.Unlock()
	for range 64 { // all of the samples that are kept
		g.targets.prompts.rates.RecordFirstEvent(model, tokens, after, 1)
	}
}

// HeldPrompts returns the number of requests that are held back because of their prompts.
func (g *Gateway) HeldPrompts() int {
	g.targets.mu.Lock()
	defer g.targets.mu.Unlock()
	return len(g.targets.prompts.released)
}

// ExpiryOf returns the check right before a request whose prompt has these parts is sent.
func (g *Gateway) ExpiryOf(parts []platform.PromptPart) func() bool {
	c := &call{Call: platform.Call{Prefix: parts}, http: httptest.NewRequest("POST", "/", nil), route: &coordpb.DeploymentRoute{}}
	t := &retryState{gateway: g, call: c, relay: newRelay(nil, c, g)}
	return t.upstreamRequest(&attempt{}).Expired
}

// ApplyTable applies a reply of the board.
func (g *Gateway) ApplyTable(r *rpc.WatchResponse) { g.targets.apply(r, g.config.Now()) }

// FollowView applies a view as followDeployment does.
func (g *Gateway) FollowView(s *view.Snapshot) {
	g.followEvacuations(s)
	g.configureRate(s)
}

// Where explains a request.
func (g *Gateway) Where(r *rpc.WhereRequest) (*rpc.WhereResponse, error) { return g.where(r) }

// DecideNext lets the serving code decide on a request and record its start. target is where it is sent,
// or which target is asked to load its model.
func (g *Gateway) DecideNext(r *rpc.WhereRequest) (target string, err error) {
	c, err := g.whereCall(r, g.config.Source.Current().Routes)
	if err != nil {
		return "", err
	}
	g.targets.recordOffered(c)
	t := newRetryState(g, c, nil)
	d := t.decide()
	switch {
	case d.err != nil:
		return "", t.untilBackoffEnds(d.err)
	case d.step == stepSend:
		placed := g.targets.placePrompt(c, d.target)
		if placed.held != nil {
			g.targets.endHold(placed, false) // the longest time has passed
		}
		g.targets.recordStart(placed.target)
		return placed.target.Instance, nil
	case d.step == stepLoadAdapter:
		return d.target.Instance, nil
	}
	list := g.targets.loadCandidates(c, nil)
	if len(list) == 0 {
		return "", t.untilBackoffEnds(noLoadTarget(c))
	}
	return list[0].Instance, nil
}

// Observe records what a target's answer may announce: a rate limit per second, a backoff, a run time.
func (g *Gateway) Observe(instance string, limit float64, backoff, run time.Duration) {
	p := destination{Status: targetstatus.Status{Instance: instance, Service: "models"}}
	g.targets.observeRateLimit(p, platform.RateLimit{Known: true, Announced: limit > 0, PerSecond: limit})
	if backoff > 0 {
		g.targets.recordBackoff(p, backoff)
	}
	if run > 0 {
		g.targets.recordRun(p, &call{service: &deployment.Service{DeploymentService: &coordpb.DeploymentService{Name: p.Service}}}, run)
		g.targets.recordFinish(p, routing.Served, run)
	}
}

// ServeWhere returns a server of the calls between processes.
func (g *Gateway) ServeWhere() http.Handler {
	mux := http.NewServeMux()
	g.Mount(mux)
	return mux
}

// State prints all state that decisions use and change: the targets with the router and its random
// source, the rate of the workspaces, the retry budgets, strikes and origins.
func (g *Gateway) State() string {
	var out strings.Builder
	seen := map[uintptr]bool{}
	for _, part := range []any{g.targets, g.rate, g.retryBudgets, g.quarantine, g.origins} {
		printState(&out, reflect.ValueOf(part), seen)
	}
	return out.String()
}

// printState prints a value with what it points to, each once, and maps in order of their keys.
func printState(out *strings.Builder, v reflect.Value, seen map[uintptr]bool) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() && !seen[v.Pointer()] {
			seen[v.Pointer()] = true
			printState(out, v.Elem(), seen)
		}
	case reflect.Interface:
		printState(out, v.Elem(), seen)
	case reflect.Struct:
		printFields(out, v, seen)
	case reflect.Map:
		keys := v.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
		for _, k := range keys {
			fmt.Fprint(out, "[", k, "]")
			printState(out, v.MapIndex(k), seen)
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			printState(out, v.Index(i), seen)
		}
	case reflect.Invalid, reflect.Func, reflect.Chan:
	default:
		fmt.Fprint(out, v, " ")
	}
}

// printFields prints a struct's fields. Times are printed whole; dependencies, which do not belong to
// the state, are left out.
func printFields(out *strings.Builder, v reflect.Value, seen map[uintptr]bool) {
	switch v.Type() {
	case reflect.TypeFor[Config](), reflect.TypeFor[events.Log](), reflect.TypeFor[sync.Mutex]():
		return
	}
	for i := range v.NumField() {
		name := v.Type().Field(i).Name
		if name == "log" || name == "control" || name == "caller" || name == "loc" {
			continue
		}
		fmt.Fprint(out, name, ":")
		printState(out, v.Field(i), seen)
	}
}

// SpeedFactor returns the speed factor of a target.
func (g *Gateway) SpeedFactor(instance string) float64 {
	g.targets.mu.Lock()
	defer g.targets.mu.Unlock()
	return g.targets.speedFactor(instance)
}

// IsContended reports whether a service counts as contended.
func (g *Gateway) IsContended(service string) bool {
	g.targets.mu.Lock()
	defer g.targets.mu.Unlock()
	return g.targets.contended(service)
}

// RecordRun records a run of a stream at a target.
func (g *Gateway) RecordRun(instance string, took time.Duration) {
	p := g.destination(instance)
	c := &call{service: &deployment.Service{DeploymentService: &coordpb.DeploymentService{Name: p.Service}}}
	g.targets.recordRun(p, c, took)
}

// QueueWait returns the estimated wait at a target with full slots and a queue.
func (g *Gateway) QueueWait(instance string, queued int) time.Duration {
	p := g.destination(instance)
	p.Running, p.Queued = p.Slots, queued
	return g.targets.queueWait(p)
}

func (g *Gateway) destination(instance string) destination {
	g.targets.mu.Lock()
	defer g.targets.mu.Unlock()
	return destination{Status: *g.targets.table.Get(instance)}
}
