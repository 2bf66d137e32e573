package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/placement"
	"cowsliptiller/coord/state"
	"cowsliptiller/server/rpc"
)

// planInterval is how often placement decides. A first request for a cold model
// waits half of it on average, against a load of a second or more.
const planInterval = 100 * time.Millisecond

// planner turns demand and reports into replica decisions while this process leads.
type planner struct {
	role *Role

	mu            sync.Mutex // guards everything below; no other lock is taken under it
	placement     *placement.Planner
	term          uint64
	began         time.Time
	configuration uint64
	observed      map[string]report  // by agent's host: told by other control processes
	met           map[string]meeting // by agent's host
}

// meeting is when an incarnation of an agent was first seen here.
type meeting struct {
	incarnation string
	at          time.Time
}

func newPlanner(c *Role) *planner {
	return &planner{role: c, observed: map[string]report{}, met: map[string]meeting{}}
}

// standing is what a round reads from the replicated state.
type standing struct {
	configuration *config.Configuration
	agents        []*coordpb.Host
	replicas      []*coordpb.Replica
	evacuated     map[string]bool // failure domains
}

func (p *planner) standing() standing {
	out := standing{evacuated: map[string]bool{}}
	p.role.machine.Read(func(s *state.State) {
		for _, e := range s.Evacuations() {
			out.evacuated[e.FailureDomain] = e.Evacuated
		}
		out.configuration = s.Configuration()
		out.replicas = s.Replicas()
		for _, h := range s.Hosts() {
			if h.Role == state.RoleAgent {
				out.agents = append(out.agents, h)
			}
		}
	})
	return out
}

// renew starts a planner for a new term: what an earlier one knew of proposals and
// demand is out of date. The caller holds mu.
func (p *planner) renew(term uint64, c *config.Configuration, now time.Time) {
	if p.placement == nil || p.term != term {
		p.placement = placement.New(placement.DefaultSettings())
		p.term, p.began, p.configuration = term, now, 0
	}
	if c != nil && p.configuration != c.Revision {
		p.placement.Configure(c, now)
		p.configuration = c.Revision
	}
}

// plan decides one round and proposes what it decided.
func (p *planner) plan(ctx context.Context, term uint64) {
	read := p.standing()
	if read.configuration == nil {
		return
	}
	reports := p.role.ownReports()
	now := p.role.now()
	p.mu.Lock()
	p.renew(term, read.configuration, now)
	p.feed(read, reports, now)
	decisions := p.placement.Plan(now)
	p.mu.Unlock()
	p.propose(ctx, decisions)
}

// feed tells placement how targets and replicas stand. The caller holds mu.
func (p *planner) feed(read standing, own map[string]report, now time.Time) {
	var targets []placement.TargetStatus
	var heard []placement.Report
	p.forget(read.agents)
	for _, agent := range read.agents {
		r, known := newest(agent, own, p.observed)
		targets = append(targets, placement.TargetStatus{
			Name:    agent.Target,
			Leaving: agent.Leaving || read.evacuated[agent.FailureDomain] || r.report.GetLeaving(),
			Live:    p.live(agent, r, known, now),
		})
		if known && r.report != nil {
			heard = append(heard, placementReport(agent.Target, r.report))
		}
	}
	p.placement.SetTargets(targets, now)
	p.placement.SetReplicas(read.replicas, now)
	for _, r := range heard {
		p.placement.ObserveReport(r, now)
	}
}

// forget drops reports of hosts that the state no longer has. The caller holds mu.
func (p *planner) forget(agents []*coordpb.Host) {
	kept := make(map[string]report, len(agents))
	for _, agent := range agents {
		if r, ok := p.observed[agent.Host]; ok {
			kept[agent.Host] = r
		}
	}
	p.observed = kept
	maps.DeleteFunc(p.met, func(host string, _ meeting) bool {
		return !slices.ContainsFunc(agents, func(a *coordpb.Host) bool { return a.Host == host })
	})
}

// live reports whether an agent may be given loads. A leader that has just begun
// has not heard from agents that poll other control processes; it takes them for
// live until one lease has passed, or it would write off the whole fleet.
//
// An agent that has just started reports before it has looked at its engine, since
// it learns from its first poll what the engine should hold. For one lease its
// engine is taken for alive: calls that came meanwhile were refused as if no target
// could ever hold their model.
func (p *planner) live(agent *coordpb.Host, r report, known bool, now time.Time) bool {
	if !known {
		return now.Sub(p.began) < p.role.freshness
	}
	alive := r.report.GetTargetAlive() || now.Sub(p.metAt(agent, now)) < p.role.freshness
	return now.Sub(r.at) < p.role.freshness && alive
}

// metAt returns when this planner first saw an agent's present incarnation.
func (p *planner) metAt(agent *coordpb.Host, now time.Time) time.Time {
	m, known := p.met[agent.Host]
	if !known || m.incarnation != agent.Incarnation {
		m = meeting{agent.Incarnation, now}
		p.met[agent.Host] = m
	}
	return m.at
}

// newest returns the newest report of an agent's present incarnation.
func newest(agent *coordpb.Host, tables ...map[string]report) (best report, known bool) {
	for _, table := range tables {
		r, ok := table[agent.Host]
		if !ok || r.caller.Incarnation != agent.Incarnation || known && !r.at.After(best.at) {
			continue
		}
		best, known = r, true
	}
	return best, known
}

func placementReport(target string, r *rpc.ReplicaReport) placement.Report {
	out := placement.Report{Target: target, Running: int(r.Running), Queued: int(r.Queued)}
	for _, m := range r.Loaded {
		out.Models = append(out.Models, placement.ModelReport{
			Model: m.Model, Running: int(m.Running), Idle: time.Duration(m.IdleMs) * time.Millisecond,
		})
	}
	return out
}

// propose commits a round's decisions in one command. Where the state refuses it,
// because one of them no longer stands, each is proposed alone.
func (p *planner) propose(ctx context.Context, decisions []placement.Decision) {
	if len(decisions) == 0 {
		return
	}
	if p.proposeAll(ctx, decisions) == nil || len(decisions) == 1 {
		return
	}
	for i := range decisions {
		if err := p.proposeAll(ctx, decisions[i:i+1]); err != nil {
			p.role.logger.Debug("decision refused", "model", decisions[i].Model, "target", decisions[i].Target, "error", err)
		}
	}
}

func (p *planner) proposeAll(ctx context.Context, decisions []placement.Decision) error {
	m := &coordpb.DecideReplicas{}
	for _, d := range decisions {
		m.Decisions = append(m.Decisions, &coordpb.ReplicaDecision{Model: d.Model, Target: d.Target, Load: d.Load, Reason: string(d.Reason)})
	}
	return p.role.commitHere(ctx, &coordpb.Command{Actor: "placement", Change: &coordpb.Command_DecideReplicas{DecideReplicas: m}})
}
