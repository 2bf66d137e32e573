package board

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/copies"
	"cowsliptiller/coord/residency"
	"cowsliptiller/coord/targetstatus"
	"cowsliptiller/server/rpc"
)

const (
	// maxPlanLines bounds the log lines of one update of the plan, at two updates a second.
	maxPlanLines = 10
	// slowFactor is from how many times the time of the fastest target on a target counts as slow.
	slowFactor = 1.5
)

// plannedCopies is a model of which several copies are wanted.
type plannedCopies struct {
	model        string
	wanted, held int
}

// planned reports whether copies are planned by the offered work: callers compete for the targets' room, or
// targets announce their speed. The caller holds mu.
func (b *Board) planned() bool { return b.config.Contended || b.speeds.Known() }

// recordWork records the work that an entry host reports. The caller holds mu.
func (b *Board) recordWork(use []*rpc.ModelUse, now time.Time) {
	if !b.planned() {
		return
	}
	for _, u := range use {
		b.copyPlan.Record(u.Model, copies.Work{SlotSeconds: u.SlotS, PromptSeconds: u.PromptS}, now)
	}
}

// planCopies updates the plan and sets the wanted copies in the demand. The caller holds mu.
func (b *Board) planCopies(sum []targetstatus.Demand, now time.Time) {
	if !b.planned() {
		b.copyPlan, b.severalWanted = copies.NewPlan(now), nil // demand of before would be published when speeds return
		return
	}
	b.fleet = b.viewFleet()
	held := map[string]int{}
	for _, d := range sum {
		held[d.Model] = d.Copies
	}
	b.logPlan(b.copyPlan.Update(b.fleet.fleetOf, now), held)
	b.severalWanted = nil
	for i := range sum {
		d := &sum[i]
		d.Wanted = b.copyPlan.Wanted(d.Model)
		if d.Wanted > 1 {
			b.severalWanted = append(b.severalWanted, plannedCopies{d.Model, d.Wanted, d.Copies})
		}
	}
}

// logPlan logs the changes of the plan, without those between no copy and one, which each request for a rare
// model can cause.
func (b *Board) logPlan(changes []copies.Change, held map[string]int) {
	lines := 0
	for _, c := range changes {
		if max(c.Wanted, c.Before) <= 1 {
			continue
		}
		if lines++; lines <= maxPlanLines {
			b.config.Log.Info("copies_planned", "model", c.Model, "wanted", c.Wanted, "before", c.Before, "held", held[c.Model],
				"slot_s_per_s", c.SlotsPerS, "prompt_s_per_s", c.PromptPerS)
		}
	}
	if lines > maxPlanLines {
		b.config.Log.Info("copies_planned lines skipped", "skipped", lines-maxPlanLines)
	}
}

// fleetView is what the plan needs of the table, as of its last update: a scan for each permit would take a
// leader's processor with 3,000 targets.
type fleetView struct {
	services map[string]string       // that runs each model
	fleets   map[string]copies.Fleet // by service
	loading  map[string]int          // targets that report a load, by model
	fastest  float64                 // least speed factor of any target; 0: none is known
}

// viewFleet scans the table once. The caller holds mu.
func (b *Board) viewFleet() fleetView {
	v := fleetView{services: serviceOfModels(b.config.Deployment()), fleets: map[string]copies.Fleet{}, loading: map[string]int{}}
	for _, s := range b.table.All() {
		if s.Loading != "" {
			v.loading[s.Loading]++
		}
		if f := b.speedFactor(s.Instance); f > 0 && (v.fastest == 0 || f < v.fastest) {
			v.fastest = f
		}
		if !s.Reported || s.Draining || s.Unreachable {
			continue
		}
		f := v.fleets[s.Service]
		f.Slots = (f.Slots*float64(f.Targets) + float64(s.Slots)) / float64(f.Targets+1)
		f.Targets++
		v.fleets[s.Service] = f
	}
	return v
}

// fleetOf returns the targets that can run a model.
func (v fleetView) fleetOf(model string) copies.Fleet { return v.fleets[v.services[model]] }

// serviceOfModels returns the service that runs each model, the first one if several do.
func serviceOfModels(d *coordpb.Deployment) map[string]string {
	out := map[string]string{}
	for _, s := range d.GetServices() {
		for _, m := range s.GetEngine().GetModels() {
			if _, known := out[m.Name]; !known {
				out[m.Name] = s.Name
			}
		}
	}
	return out
}

// withPlan completes the request of a host for a permit by the plan. The caller holds mu.
func (b *Board) withPlan(l residency.LoadRequest, host string) residency.LoadRequest {
	if !b.planned() {
		return l
	}
	l.Wanted = b.copyPlan.Wanted(l.Model)
	if l.Wanted > l.Copies {
		l.LocalCopies = b.table.WithCopy(l.Model)
	}
	l.Loading = b.fleet.loading[l.Model]
	l.Targets = b.fleet.fleetOf(l.Model).Targets
	l.Slow = b.speedFactor(b.agents[host]) > slowFactor*b.fleet.fastest
	return l
}

// speedFactor returns the lasting time of a target's work relative to the usual one; 0: not known. The
// caller holds mu.
func (b *Board) speedFactor(instance string) float64 {
	return float64(b.speeds.Percent(instance)) / 100
}

var copiesDesc = prometheus.NewDesc("cowslip_board_copies",
	"Copies of models of which the leader wants several, by whether they are wanted or held.", []string{"model", "state"}, nil)

// collectCopies sends the wanted and held copies of models of which several are wanted.
func (b *Board) collectCopies(out chan<- prometheus.Metric) {
	b.mu.Lock()
	list := b.severalWanted
	b.mu.Unlock()
	for _, m := range list {
		out <- prometheus.MustNewConstMetric(copiesDesc, prometheus.GaugeValue, float64(m.wanted), m.model, "wanted")
		out <- prometheus.MustNewConstMetric(copiesDesc, prometheus.GaugeValue, float64(m.held), m.model, "held")
	}
}
