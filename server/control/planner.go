package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/state"
	"cowsliptiller/server/rpc"
)

// planInterval is how often placement looks at the demand.
const planInterval = 100 * time.Millisecond

// demandValid is how long a demand stands without being told again.
const demandValid = 10 * time.Second

// planner turns demand into replica decisions while this process leads: the first
// target with room, within the store's limit of loads at full speed.
type planner struct {
	role *Role

	mu      sync.Mutex
	demands map[string]time.Time // by model: when it was last told
}

func newPlanner(c *Role) *planner {
	return &planner{role: c, demands: map[string]time.Time{}}
}

// Demand implements rpc.Control.
func (c *Role) Demand(ctx context.Context, req *rpc.DemandRequest) (*rpc.DemandResponse, error) {
	st := c.log.Status()
	if st.Leading {
		return c.planner.demand(req), nil
	}
	if req.Forwarded {
		return nil, rpc.ToTwirp(fault.New(fault.NotLeader, "member %d does not lead", st.ID))
	}
	leader, err := c.leader()
	if err != nil {
		return nil, rpc.ToTwirp(err)
	}
	req.Forwarded = true
	resp, err := leader.Demand(ctx, req)
	return resp, rpc.ToTwirp(rpc.FromTwirp(err))
}

// Observe implements rpc.Control.
func (c *Role) Observe(_ context.Context, req *rpc.ObserveRequest) (*rpc.ObserveResponse, error) {
	return &rpc.ObserveResponse{}, nil
}

func (p *planner) demand(req *rpc.DemandRequest) *rpc.DemandResponse {
	now := p.role.now()
	var cfg *config.Configuration
	p.role.machine.Read(func(s *state.State) { cfg = s.Configuration() })
	resp := &rpc.DemandResponse{}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range req.Demands {
		if cfg == nil {
			continue
		}
		spec, known := cfg.Models[d.Model]
		if known && d.Waiting > 0 {
			p.demands[d.Model] = now
		}
		resp.Forecasts = append(resp.Forecasts, &rpc.ModelForecast{Model: d.Model, Possible: known, ReadyInMs: spec.LoadTime.Milliseconds()})
	}
	return resp
}

func (p *planner) wanted(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, m := range sortedKeys(p.demands) {
		if now.Sub(p.demands[m]) > demandValid {
			delete(p.demands, m)
			continue
		}
		out = append(out, m)
	}
	return out
}

// plan decides one round.
func (p *planner) plan(ctx context.Context) {
	wanted := p.wanted(p.role.now())
	if len(wanted) == 0 {
		return
	}
	var decisions []*coordpb.ReplicaDecision
	p.role.machine.Read(func(s *state.State) { decisions = place(s, wanted) })
	for _, d := range decisions {
		_, err := p.role.commit(ctx, &coordpb.Command{Actor: "placement", Change: &coordpb.Command_DecideReplicas{
			DecideReplicas: &coordpb.DecideReplicas{Decisions: []*coordpb.ReplicaDecision{d}}}})
		if err != nil {
			p.role.logger.Debug("decision refused", "model", d.Model, "target", d.Target, "error", err)
		}
	}
}

// place chooses targets for wanted models that have no replica.
func place(s *state.State, wanted []string) []*coordpb.ReplicaDecision {
	cfg := s.Configuration()
	if cfg == nil {
		return nil
	}
	used, loading, held := usage(s.Replicas())
	var out []*coordpb.ReplicaDecision
	for _, model := range wanted {
		spec, ok := cfg.Models[model]
		if !ok || held[model] || loading >= cfg.Store.FullSpeedLoads {
			continue
		}
		target := firstWithRoom(s, cfg, used, spec.Bytes)
		if target == "" {
			continue
		}
		used[target] += spec.Bytes
		loading++
		out = append(out, &coordpb.ReplicaDecision{Model: model, Target: target, Load: true})
	}
	return out
}

func usage(replicas []*coordpb.Replica) (used map[string]int64, loading int, held map[string]bool) {
	used, held = map[string]int64{}, map[string]bool{}
	for _, r := range replicas {
		used[r.Target] += r.Bytes
		if r.State == coordpb.ReplicaState_REPLICA_STATE_LOAD {
			loading++
		}
		if r.State != coordpb.ReplicaState_REPLICA_STATE_UNLOAD {
			held[r.Model] = true
		}
	}
	return used, loading, held
}

func firstWithRoom(s *state.State, cfg *config.Configuration, used map[string]int64, bytes int64) string {
	var live []string
	for _, h := range s.Hosts() {
		if h.Role == state.RoleAgent && !h.Leaving && cfg.Targets[h.Target].Kind == config.KindEngine {
			live = append(live, h.Target)
		}
	}
	slices.Sort(live)
	for _, t := range live {
		if used[t]+bytes <= cfg.Targets[t].WeightBytes() {
			return t
		}
	}
	return ""
}
