package placement

import (
	"sort"
	"time"
)

// Load pattern: most models are idle, and an idle accelerator costs money and heat.
// Without it: a fixed idle timeout keeps a model requested once a day as long as one requested each minute.
// Rule: keep a replica while the waiting it is expected to save (request rate x load time x
// WaitCostRatio) is worth more than its share of the target's memory.

// planIdleUnloads unloads idle replicas whose value is below the cost of their memory, lowest
// margin first.
func (p *Planner) planIdleUnloads(now time.Time) []Decision {
	if now.Sub(p.configuredAt) < p.settings.IdleUnloadGrace {
		return nil
	}
	type candidate struct {
		r      *replica
		margin float64
		reason Reason
	}
	var list []candidate
	p.forEachModel(func(m *model) {
		for _, r := range m.replicas {
			if margin, reason, ok := p.evaluateUnload(r, now); ok {
				list = append(list, candidate{r, margin, reason})
				return // at most one replica of each model per round
			}
		}
	})
	sort.SliceStable(list, func(i, j int) bool { return list[i].margin < list[j].margin })
	var out []Decision
	for _, c := range list[:min(len(list), p.settings.IdleUnloadsPerRound)] {
		out = append(out, p.propose(Decision{c.r.model.spec.Name, c.r.target.spec.Name, false, c.reason}, now))
	}
	return out
}

// If a fleet is full of idle models, each cold start waits for an eviction first. The price of
// memory therefore rises as less of it is free: it is 1 if at least the share freeMemoryGoal is
// free, and up to maxMemoryPrice if none is.
const (
	freeMemoryGoal = 0.4
	maxMemoryPrice = 4.0
)

// updateMemoryPrice computes the price of memory from the free share on usable targets.
func (p *Planner) updateMemoryPrice() {
	free, all := 0.0, 0.0
	for _, name := range p.targetNames {
		if t := p.targets[name]; t.usable() {
			free += float64(max(0, t.freeBytes()))
			all += float64(t.spec.WeightBytes())
		}
	}
	p.memoryPrice = 1
	if all > 0 {
		p.memoryPrice = min(maxMemoryPrice, max(1, freeMemoryGoal*all/max(free, 1)))
	}
}

// evaluateUnload returns the margin of r's value over the cost of its memory (-1 for a surplus
// replica), the reason to unload it, and whether to unload it.
func (p *Planner) evaluateUnload(r *replica, now time.Time) (float64, Reason, bool) {
	m := r.model
	if r.state != stateReady || r.running > 0 || !r.target.usable() || m.waiting > 0 {
		return 0, "", false
	}
	if now.Sub(r.readyAt) < p.settings.MinResidency {
		return 0, "", false
	}
	if m.servingCount() > 1 {
		surplus := !m.surplusSince.IsZero() && now.Sub(m.surplusSince) >= p.settings.ScaleDownDelay
		return -1, ReasonSurplus, surplus
	}
	share := float64(r.bytes) / float64(r.target.spec.WeightBytes())
	margin := p.settings.WaitCostRatio*p.retentionValue(r, now) - share*p.memoryPrice
	return margin, ReasonIdle, margin < 0
}
