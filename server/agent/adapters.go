package agent

import (
	"context"

	"cowsliptiller/coord/fault"
	"cowsliptiller/server/wire"
)

// adapterLoad is an adapter load under way; all requests that need the adapter
// wait for the one load.
type adapterLoad struct {
	done chan struct{}
	err  error
}

// prepare loads the request's adapter, if it needs one that is not loaded.
func (a *Agent) prepare(ctx context.Context, req *wire.Request) error {
	if req.Adapter == "" {
		return nil
	}
	load, first := a.adapterLoad(req.Model, req.Adapter)
	if load == nil {
		return nil
	}
	if first {
		a.stopped.Go(func() { a.loadAdapter(context.WithoutCancel(ctx), load, req.Model, req.Adapter) })
	}
	select {
	case <-load.done:
		return load.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// adapterLoad returns the load to wait for, nil when the adapter is loaded, and
// whether the caller is the one to start it.
func (a *Agent) adapterLoad(model, adapter string) (load *adapterLoad, first bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	held := a.resident[model]
	if held != nil && held.hasAdapter(adapter) {
		return nil, false
	}
	if load = a.adapters[adapter]; load != nil {
		return load, false
	}
	load = &adapterLoad{done: make(chan struct{})}
	a.adapters[adapter] = load
	return load, true
}

func (a *Agent) loadAdapter(ctx context.Context, load *adapterLoad, model, adapter string) {
	load.err = a.orderAdapter(ctx, model, adapter)
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.adapters, adapter)
	close(load.done)
}

func (a *Agent) orderAdapter(ctx context.Context, model, adapter string) error {
	snapshot, _, ok := a.spec()
	if !ok {
		return fault.New(fault.NotHere, "this target is not in the configuration")
	}
	spec, ok := snapshot.Configuration.Adapters[adapter]
	if !ok || spec.Model != model {
		return fault.New(fault.NotFound, "there is no adapter of this name")
	}
	order := AdapterOrder{Adapter: adapter, Model: model, Bytes: spec.Bytes, LoadTime: snapshot.Configuration.Store.AdapterLoadLimit}
	err := a.target.LoadAdapter(ctx, order)
	if err != nil {
		// The adapter did not load, so the request cannot have run.
		return fault.WithRan(err, fault.RanNo, true)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if held := a.resident[model]; held != nil {
		held.model.Adapters = append(held.model.Adapters, LoadedAdapter{Name: adapter, Bytes: spec.Bytes})
	}
	return nil
}

func (r *residence) hasAdapter(name string) bool {
	for _, adapter := range r.model.Adapters {
		if adapter.Name == name {
			return true
		}
	}
	return false
}
