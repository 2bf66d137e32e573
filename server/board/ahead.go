package board

import (
	"time"

	"cowsliptiller/coord/residency"
	"cowsliptiller/coord/standings"
	"cowsliptiller/server/rpc"
)

const (
	// aheadBusy is when an agent may ask again that was told to load nothing ahead,
	// because the store is in use or the board fills.
	aheadBusy = time.Second
	// aheadDone is when it may ask again after all models were near some target.
	aheadDone = 5 * time.Second
	// aheadSpacing for each target on the board is added, so that a thousand agents at
	// ease ask a few times a second together.
	aheadSpacing = 20 * time.Millisecond
)

// permitAhead names a model for a target at ease to load ahead, or says when to ask
// again. The caller holds mu.
func (b *Board) permitAhead(host, service string, now time.Time) *rpc.PermitResponse {
	model, ok := standings.Cold(b.table, b.use, b.modelsOf(service), b.gate.Running, now)
	switch {
	case !b.use.Known(now) || !b.table.Settled(b.runsModels):
		return b.notAhead(aheadBusy)
	case !ok:
		return b.notAhead(aheadDone)
	}
	load := residency.Load{Model: model, Store: true, Ahead: true, Usual: b.usual(model)}
	if granted, _ := b.gate.Ask(host, load, now); !granted {
		return b.notAhead(aheadBusy)
	}
	b.config.Log.Info("load_permitted", "host", host, "model", model, "store", true, "ahead", true)
	return &rpc.PermitResponse{Granted: true, Model: model}
}

func (b *Board) notAhead(after time.Duration) *rpc.PermitResponse {
	after += aheadSpacing * time.Duration(b.table.Len())
	return &rpc.PermitResponse{RetryAfterMs: uint32(after.Milliseconds())}
}

// modelsOf returns the names of a service's models, in the deployment's order.
func (b *Board) modelsOf(service string) []string {
	var out []string
	for _, s := range b.config.Deployment().GetServices() {
		if s.Name != service {
			continue
		}
		for _, m := range s.GetEngine().GetModels() {
			out = append(out, m.Name)
		}
	}
	return out
}
