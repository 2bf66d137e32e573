package agent

import (
	"context"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/target"
	"cowsliptiller/server/wire"
)

// prepare holds the request's adapter, loading it if need be. The caller calls
// release also after an error.
func (a *Agent) prepare(ctx context.Context, m *memory, req *wire.Request) (release func(), err error) {
	if req.Adapter == "" {
		return func() {}, nil
	}
	snapshot, _, ok := a.spec()
	if !ok {
		return func() {}, fault.New(fault.NotHere, "this target is not in the configuration")
	}
	spec, ok := snapshot.Configuration.Adapters[req.Adapter]
	if !ok || spec.Model != req.Model {
		return func() {}, fault.New(fault.NotFound, "there is no adapter of this name")
	}
	limit := snapshot.Configuration.Store.AdapterLoadLimit
	return m.needAdapter(ctx, spec, func(o target.AdapterOrder) {
		order := AdapterOrder{Adapter: o.Adapter, Model: o.Model, Bytes: spec.Bytes, LoadTime: limit}
		a.stopped.Go(func() { a.orderAdapter(m, o, order) })
	})
}

// orderAdapter gives one order about an adapter, whoever waits for it: an order
// that was begun is seen to its end, so that the ledger stays true.
func (a *Agent) orderAdapter(m *memory, o target.AdapterOrder, order AdapterOrder) {
	ctx := a.life
	if !o.Load {
		m.adapterEnded(o, false, a.target.UnloadAdapter(ctx, order) == nil)
		return
	}
	err := a.target.LoadAdapter(ctx, order)
	if err == nil {
		m.adapterEnded(o, true, false)
		return
	}
	a.log.Warn("adapter not loaded", "adapter", o.Adapter, "kind", fault.From(err).Kind)
	gone := a.target.UnloadAdapter(ctx, order) == nil
	m.adapterEnded(o, false, gone)
}
