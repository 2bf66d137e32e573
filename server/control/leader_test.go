package control_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/server/control"
	"cowsliptiller/server/rpc"
)

// draw asks for tokens of w1 (rate 10, burst 100) and returns what was granted.
func draw(g *WithT, role *control.Role, host string, sequence uint64, need, spent int64) int64 {
	resp, err := role.Draw(background, &rpc.DrawRequest{
		Caller: caller(host, "entry", host+"-1", ""), Sequence: sequence, Applied: sequence - 1, UptimeMs: 60_000,
		Items: []*rpc.DrawItem{{Workspace: "w1", NeedTokens: need, WantTokens: need, DrawnInWindow: spent}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Grants).To(HaveLen(1))
	return resp.Grants[0].Tokens
}

// A workspace used up its burst. The leader dies and the next one owns the bucket:
// were it full again, the workspace would get its burst once for each leader.
func TestANewOwnerStartsFromWhatIsUnspent(t *testing.T) {
	virtual(t, func(t *testing.T, g *WithT) {
		gr, roles := three(t)
		_, err := roles[0].Operators().Submit(background, submitAs("first", 0))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(draw(g, roles[1], "e1", 1, 100, 0)).To(Equal(int64(100)))
		gr.put("dead", address(1))
		gr.elect(2)
		g.Expect(draw(g, roles[2], "e1", 2, 50, 100)).To(BeZero())
		settle(5 * time.Second)
		g.Expect(draw(g, roles[2], "e1", 3, 50, 100)).To(Equal(int64(50)))
	})
}

// An entry host is taken away for good. Ten minutes later the leader changes: a
// new owner that still waited for the dead host's word would start from empty, and
// refuse callers who are inside their rate.
func TestASilentEntryHostIsForgotten(t *testing.T) {
	virtual(t, func(t *testing.T, g *WithT) {
		gr, roles := three(t)
		_, err := roles[0].Operators().Submit(background, submitAs("first", 0))
		g.Expect(err).NotTo(HaveOccurred())
		gr.follow(t, "stays", address(2))
		_, err = roles[2].Sync(background, poll(caller("goes", "entry", "i", ""), 0))
		g.Expect(err).NotTo(HaveOccurred())
		agentPoll(g, roles[1], "i1")
		names := func() (out []string) {
			list, err := roles[1].Operators().Hosts(background, nil)
			g.Expect(err).NotTo(HaveOccurred())
			for _, h := range list.Hosts {
				out = append(out, h.Host)
			}
			return out
		}
		settle(9 * time.Minute)
		g.Expect(names()).To(ConsistOf("stays", "goes", "h1"))
		settle(12 * time.Minute)
		g.Expect(names()).To(ConsistOf("stays", "h1"))
		gr.elect(2)
		g.Expect(draw(g, roles[2], "stays", 1, 100, 0)).To(Equal(int64(100)))
	})
}

// A control process cannot be reached, or has just restarted: the silent host may
// be following through it.
func TestNoHostIsForgottenWithoutEveryControlProcessSayingSo(t *testing.T) {
	virtual(t, func(t *testing.T, g *WithT) {
		gr, roles := three(t)
		_, err := roles[2].Sync(background, poll(caller("goes", "entry", "i", ""), 0))
		g.Expect(err).NotTo(HaveOccurred())
		settle(time.Second)
		gr.put("away", address(3))
		settle(30 * time.Minute)
		list, err := roles[1].Operators().Hosts(background, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(list.Hosts).To(HaveLen(1))
	})
}

func TestACutOffLeaderGrantsNoTokens(t *testing.T) {
	virtual(t, func(t *testing.T, g *WithT) {
		gr, roles := three(t)
		gr.put("away", address(1))
		_, err := roles[0].Draw(background, &rpc.DrawRequest{Caller: caller("e1", "entry", "i", "")})
		g.Expect(fault.Is(fromTwirp(err), fault.NotLeader)).To(BeTrue())
	})
}

// Leadership passes on while the old leader registers a host that wants to draw. By
// then the next owner grants from the same buckets.
func TestALeaderThatLostItsTermWhileRegisteringGrantsNoTokens(t *testing.T) {
	virtual(t, func(t *testing.T, g *WithT) {
		gr, roles := three(t)
		_, err := roles[0].Operators().Submit(background, submitAs("first", 0))
		g.Expect(err).NotTo(HaveOccurred())
		gr.mu.Lock()
		gr.after = func(c *coordpb.Command) {
			if c.GetRegisterHost() != nil {
				gr.leader, gr.term = 2, 2
			}
		}
		gr.mu.Unlock()
		_, err = roles[0].Draw(background, &rpc.DrawRequest{Caller: caller("e1", "entry", "i", ""), Sequence: 1,
			Items: []*rpc.DrawItem{{Workspace: "w1", NeedTokens: 100}}})
		g.Expect(fault.Is(fromTwirp(err), fault.NotLeader)).To(BeTrue())
	})
}

// agentPoll polls as the agent of target t1 whose engine has the models loaded.
func agentPoll(g *WithT, role *control.Role, incarnation string, loaded ...*rpc.LoadedModel) *coordpb.View {
	req := poll(caller("h1", "agent", incarnation, "t1"), 0)
	req.Report = &rpc.ReplicaReport{TargetAlive: true, Loaded: loaded}
	resp, err := role.Sync(background, req)
	g.Expect(err).NotTo(HaveOccurred())
	return resp.View
}

// A first request for a model that is loaded nowhere comes to an entry host; the
// agent polls one control host, the entry host asks another, and neither leads.
func TestDemandBecomesADecisionAndAConfirmedReplica(t *testing.T) {
	virtual(t, func(t *testing.T, g *WithT) {
		_, roles := three(t)
		_, err := roles[0].Operators().Submit(background, submitAs("first", 0))
		g.Expect(err).NotTo(HaveOccurred())
		for range 20 { // longer than the leader takes unheard agents for live
			agentPoll(g, roles[1], "i1")
			settle(freshness / 10)
		}
		resp, err := roles[2].Demand(background, &rpc.DemandRequest{Caller: caller("e1", "entry", "i", ""), Demands: []*rpc.ModelDemand{
			{Model: "m1", Waiting: 1, EarliestDeadlineMs: 8000, Interactive: true}}})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.Forecasts[0].Possible).To(BeTrue())
		settle(time.Second / 2)
		replicas := agentPoll(g, roles[1], "i1").Replicas
		g.Expect(replicas).To(HaveLen(1))
		g.Expect(replicas[0].State).To(Equal(coordpb.ReplicaState_REPLICA_STATE_LOAD))
		confirm := &coordpb.ConfirmReplica{Model: "m1", Target: "t1", Fencing: replicas[0].Fencing, Loaded: true}
		_, err = roles[2].Confirm(background, &rpc.ConfirmRequest{Caller: caller("h1", "agent", "i1", "t1"), Confirmations: []*coordpb.ConfirmReplica{confirm}})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(agentPoll(g, roles[1], "i1").Replicas[0].State).To(Equal(coordpb.ReplicaState_REPLICA_STATE_READY))
	})
}

// An agent shuts down and says so. If control counted on it until its lease lapsed,
// the next request for what it held would wait for the lease and then for a load.
func TestNothingIsDecidedForAnAgentThatSaysItLeaves(t *testing.T) {
	virtual(t, func(t *testing.T, g *WithT) {
		_, roles := three(t)
		_, err := roles[0].Operators().Submit(background, submitAs("first", 0))
		g.Expect(err).NotTo(HaveOccurred())
		agentPoll(g, roles[1], "i1")
		settle(time.Second)
		goodbye := poll(caller("h1", "agent", "i1", "t1"), 0)
		goodbye.Report = &rpc.ReplicaReport{TargetAlive: true, Leaving: true}
		_, err = roles[1].Sync(background, goodbye)
		g.Expect(err).NotTo(HaveOccurred())
		settle(time.Second / 2) // the report reaches the leader
		_, err = roles[2].Demand(background, &rpc.DemandRequest{Caller: caller("e1", "entry", "i", ""), Demands: []*rpc.ModelDemand{
			{Model: "m1", Waiting: 1, EarliestDeadlineMs: 8000, Interactive: true}}})
		g.Expect(err).NotTo(HaveOccurred())
		settle(time.Second / 2)
		list, err := roles[0].Operators().Replicas(background, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(list.Replicas).To(BeEmpty())
	})
}

// A fleet has just been started: the agent has not looked at its engine yet, and the
// planner has made no round. Requests were refused as if no target could ever hold
// their model.
func TestARequestAtTheStartOfAFleetIsNotToldThatItsModelIsImpossible(t *testing.T) {
	virtual(t, func(t *testing.T, g *WithT) {
		_, roles := three(t)
		demand := &rpc.DemandRequest{Caller: caller("e1", "entry", "i", ""), Demands: []*rpc.ModelDemand{
			{Model: "m1", Waiting: 1, EarliestDeadlineMs: 8000, Interactive: true}}}
		ask := func() bool {
			demand.Forwarded = false
			resp, err := roles[2].Demand(background, demand)
			g.Expect(err).NotTo(HaveOccurred())
			return resp.Forecasts[0].Possible
		}
		_, err := roles[0].Operators().Submit(background, submitAs("first", 0))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(ask()).To(BeTrue(), "before the planner's first round")
		settle(2 * freshness)
		req := poll(caller("h1", "agent", "i1", "t1"), 0)
		req.Report = &rpc.ReplicaReport{}
		_, err = roles[1].Sync(background, req)
		g.Expect(err).NotTo(HaveOccurred())
		settle(time.Second)
		g.Expect(ask()).To(BeTrue(), "before the agent has looked at its engine")
	})
}
