package placement

import (
	"sort"
	"time"
)

// Unloading. Pattern of load: most models sit idle, and an idle accelerator
// costs money and heat. A fixed time keeps a model that is asked for once a day
// as long as one that is asked for each minute. Here a replica stays while the
// waiting it is expected to save is worth more than the accelerator time it
// holds: rate of requests x load time x WaitPrice, against its share of the
// target's memory.

// planIdle unloads idle replicas that are not worth their room, worst first.
func (p *Planner) planIdle(now time.Time) []Decision {
	if now.Sub(p.began) < p.settings.LearnFor {
		return nil
	}
	type candidate struct {
		r      *replica
		margin float64
		reason Reason
	}
	var list []candidate
	p.each(func(m *model) {
		for _, r := range m.replicas {
			if margin, reason, ok := p.worthless(r, now); ok {
				list = append(list, candidate{r, margin, reason})
				return // one replica of a model at a time
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

// Scarcity. A fleet that is full of idle models has no room for a first request:
// each cold start then waits for an eviction first. So room costs more, the less
// of it is free: keptFree of the memory at the plain price, up to maxScarcity times
// that when nothing is free.
const (
	keptFree    = 0.4
	maxScarcity = 4.0
)

// measureScarcity derives the price of room from what is free on usable targets.
func (p *Planner) measureScarcity() {
	free, all := 0.0, 0.0
	for _, name := range p.targetNames {
		if t := p.targets[name]; t.usable() {
			free += float64(max(0, t.free()))
			all += float64(t.spec.WeightBytes())
		}
	}
	p.scarcity = 1
	if all > 0 {
		p.scarcity = min(maxScarcity, max(1, keptFree*all/max(free, 1)))
	}
}

// worthless reports whether r may go, and by how much it is not worth its room.
func (p *Planner) worthless(r *replica, now time.Time) (float64, Reason, bool) {
	m := r.model
	if r.state != stateReady || r.running > 0 || !r.target.usable() || m.waiting > 0 {
		return 0, "", false
	}
	if now.Sub(r.ready) < p.settings.MinStay {
		return 0, "", false
	}
	if m.servingCount() > 1 {
		surplus := !m.spareFrom.IsZero() && now.Sub(m.spareFrom) >= p.settings.SpareFor
		return -1, ReasonSurplus, surplus
	}
	share := float64(r.bytes) / float64(r.target.spec.WeightBytes())
	margin := p.settings.WaitPrice*p.keepValue(r, now) - share*p.scarcity
	return margin, ReasonIdle, margin < 0
}
