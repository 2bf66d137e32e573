package load

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"cowsliptiller/coord/fault"
)

// maxInFlight bounds what the tool holds open. Beyond it requests are not
// delayed, which would close the loop, but counted as lost by the tool itself.
const maxInFlight = 20_000

// Check returns an error that names what is wrong with the plan.
func (p Plan) Check() error {
	switch {
	case len(p.Entries) == 0:
		return fault.New(fault.InvalidRequest, "--entry: at least one address is needed")
	case len(p.Keys) == 0:
		return fault.New(fault.InvalidRequest, "--key: at least one workspace=key is needed")
	case len(p.Mix) == 0 || p.weight() <= 0:
		return fault.New(fault.InvalidRequest, "--mix: at least one shape with a weight above 0 is needed")
	case p.Rate <= 0 || p.Duration <= 0 || p.Timeout <= 0:
		return fault.New(fault.InvalidRequest, "--rate, --duration and --timeout must be above 0")
	case len(p.Models) == 0 && p.Mix[ShapeWhole]+p.Mix[ShapeStream] > 0:
		return fault.New(fault.InvalidRequest, "--model: at least one model is needed for completions")
	}
	for _, e := range p.Entries {
		u, err := url.Parse(e)
		if err != nil || u.Scheme != "http" || net.ParseIP(u.Hostname()) == nil {
			return fault.New(fault.InvalidRequest, "--entry: %q given, http://IP:port is allowed", e)
		}
		if !net.ParseIP(u.Hostname()).IsLoopback() {
			return fault.New(fault.InvalidRequest, "--entry: %q is not a loopback address", e)
		}
	}
	return nil
}

func (p Plan) weight() int {
	sum := 0
	for _, w := range p.Mix {
		sum += max(w, 0)
	}
	return sum
}

// Run sends the plan and returns every request's outcome in order of sending.
// done, if not nil, is called after each with the number done and in all.
func Run(ctx context.Context, p Plan, done func(done, of int)) ([]Outcome, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	requests := p.schedule()
	outcomes := make([]Outcome, len(requests))
	client := newClient()
	slots := make(chan struct{}, maxInFlight)
	var wg sync.WaitGroup
	var mu sync.Mutex
	finished := 0
	start := time.Now()
	for i, r := range requests {
		if !waitUntil(ctx, start.Add(r.At)) {
			outcomes = outcomes[:i]
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			outcomes[i] = Outcome{Request: r, Result: Lost, Error: "the load tool holds too many requests"}
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			outcomes[i] = send(ctx, client, p, r)
			if done == nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			finished++
			done(finished, len(requests))
		})
	}
	wg.Wait()
	return outcomes, nil
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 512,
		IdleConnTimeout:     10 * time.Second,
		DisableCompression:  true,
	}}
}

func waitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
