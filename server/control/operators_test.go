package control_test

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/server/gen/operators"
	"cowsliptiller/server/rpc"
)

func fromTwirp(err error) error { return rpc.FromTwirp(err) }

func caller(host, role, incarnation, target string) *rpc.Caller {
	return &rpc.Caller{Host: host, Role: role, Incarnation: incarnation, Target: target, Address: "127.0.0.1:9", FailureDomain: "a"}
}

func poll(c *rpc.Caller, since uint64) *rpc.SyncRequest {
	return &rpc.SyncRequest{Caller: c, Since: since}
}

// Two operators press enter at the same moment at two control hosts, with the same
// revision to replace. One change wins; the other must be told which.
func TestTwoOperatorsRaceThroughTwoControlHosts(t *testing.T) {
	virtual(t, func(t *testing.T, g *WithT) {
		_, roles := three(t)
		var wg sync.WaitGroup
		errs := make([]error, 2)
		for i, id := range []string{"alice", "bob"} {
			wg.Go(func() { _, errs[i] = roles[i+1].Operators().Submit(background, submitAs(id, 0)) })
		}
		wg.Wait()
		g.Expect([]fault.Kind{kindOf(errs[0]), kindOf(errs[1])}).To(ConsistOf(fault.Kind(""), fault.Conflict))
		winner, loser := "alice", errs[1]
		if errs[0] != nil {
			winner, loser = "bob", errs[0]
		}
		g.Expect(loser.(*operators.Refusal).Message).To(ContainSubstring(winner))
		g.Expect(loser.(*operators.Refusal).Message).To(ContainSubstring("revision 1"))
	})
}

// The answer is lost, the leader dies, and the operator sends the same submission
// to another control host, after a colleague's change.
func TestAResentSubmissionGetsItsFirstOutcome(t *testing.T) {
	virtual(t, func(t *testing.T, g *WithT) {
		gr, roles := three(t)
		_, err := roles[1].Operators().Submit(background, submitAs("first", 0))
		g.Expect(err).NotTo(HaveOccurred())
		_, err = roles[1].Operators().Submit(background, submitAs("second", 1))
		g.Expect(err).NotTo(HaveOccurred())
		gr.put("dead", address(1))
		gr.elect(3)
		out, err := roles[1].Operators().Submit(background, submitAs("first", 0))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(out.Revision).To(Equal(uint64(1)))
		info, err := roles[2].Operators().Configuration(background, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(info.Revision).To(Equal(uint64(2)))
	})
}

// The leader is lost while an operator's command is on its way. The command waits
// for the next leader instead of failing.
func TestACommandOutlivesAChangeOfLeader(t *testing.T) {
	virtual(t, func(t *testing.T, g *WithT) {
		gr, roles := three(t)
		gr.put("dead", address(1))
		done := make(chan error, 1)
		go func() {
			_, err := roles[1].Operators().Submit(background, submitAs("first", 0))
			done <- err
		}()
		settle(time.Second)
		gr.elect(2)
		gr.put("", address(1))
		g.Expect(<-done).NotTo(HaveOccurred())
	})
}

// The leader is cut off silently while an operator reads through another host.
func TestAReadOutlivesAChangeOfLeader(t *testing.T) {
	virtual(t, func(t *testing.T, g *WithT) {
		gr, roles := three(t)
		gr.put("dead", address(1))
		start := time.Now()
		done := make(chan error, 1)
		go func() {
			_, err := roles[1].Operators().Keys(background, nil)
			done <- err
		}()
		settle(200 * time.Millisecond)
		gr.elect(2)
		g.Expect(<-done).NotTo(HaveOccurred())
		g.Expect(time.Since(start)).To(BeNumerically("<", time.Second))
	})
}

// A key's answer is lost and the command is sent again. A second key would be
// given that nobody knows of; the secret of the first is not kept anywhere.
func TestAResentGiveKeyMakesNoSecondKey(t *testing.T) {
	virtual(t, func(t *testing.T, g *WithT) {
		_, roles := three(t)
		_, err := roles[0].Operators().Submit(background, submitAs("first", 0))
		g.Expect(err).NotTo(HaveOccurred())
		ask := &operators.GiveKeyPayload{Workspace: "w1", CommandID: "c1"}
		first, err := roles[0].Operators().GiveKey(background, ask)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(*first.Secret).To(HaveLen(43))
		again, err := roles[1].Operators().GiveKey(background, ask)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again.KeyID).To(Equal(first.KeyID))
		g.Expect(again.Secret).To(BeNil())
		list, err := roles[2].Operators().Keys(background, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(list.Keys).To(HaveLen(1))
	})
}

func TestEveryChangeLeavesAnAuditRecord(t *testing.T) {
	virtual(t, func(t *testing.T, g *WithT) {
		_, roles := three(t)
		ops := roles[1].Operators()
		_, _ = ops.Submit(background, submitAs("alice", 0))
		_, _ = ops.Submit(background, submitAs("bob", 0))
		key, err := ops.GiveKey(background, &operators.GiveKeyPayload{Workspace: "w1", CommandID: "c1"})
		g.Expect(err).NotTo(HaveOccurred())
		withdraw(g, roles[1], key.KeyID)
		_, err = ops.DrainHost(background, &operators.DrainHostPayload{Host: "nobody", Leaving: true})
		g.Expect(kindOf(err)).To(Equal(fault.NotFound))
		_, err = ops.AddMember(background, &operators.AddMemberPayload{ID: 4, Address: "127.0.0.1:4"})
		g.Expect(err).NotTo(HaveOccurred())
		list, err := roles[2].Operators().Audit(background, &operators.AuditPayload{Limit: 100})
		g.Expect(err).NotTo(HaveOccurred())
		var lines []string
		for _, r := range list.Records {
			lines = append(lines, r.Actor+" "+r.Action+" "+r.Outcome)
		}
		g.Expect(lines).To(Equal([]string{
			"alice submit_questionnaire ok", "bob submit_questionnaire conflict", "operator give_key ok",
			"operator withdraw_key ok", "operator drain_host not_found", "operator add_member ok",
		}))
	})
}

// A shop's print order reaches two entry hosts, which ask two control hosts.
func TestOneClaimIsGrantedWhoeverIsAsked(t *testing.T) {
	virtual(t, func(t *testing.T, g *WithT) {
		gr, roles := three(t)
		ask := func(i int, attempt string) *rpc.ClaimResponse {
			resp, err := roles[i].Claim(background, &rpc.ClaimRequest{Caller: caller("e", "entry", "i", ""), Claim: &coordpb.OpenClaim{
				Workspace: "w1", IdempotencyKey: "k", RequestDigest: []byte("order"), Attempt: attempt}})
			g.Expect(err).NotTo(HaveOccurred())
			return resp
		}
		g.Expect(ask(1, "a1").Granted).To(BeTrue())
		g.Expect(ask(2, "a2").Granted).To(BeFalse())
		gr.put("dead", address(1))
		gr.elect(2)
		_, err := roles[2].Settle(background, &rpc.SettleRequest{Settle: &coordpb.SettleClaim{
			Workspace: "w1", IdempotencyKey: "k", Attempt: "a1", State: coordpb.ClaimState_CLAIM_STATE_DONE,
			Outcome: &coordpb.CallOutcome{Status: 201}}})
		g.Expect(err).NotTo(HaveOccurred())
		late := ask(1, "a3")
		g.Expect(late.Granted).To(BeFalse())
		g.Expect(late.Claim.Outcome.Status).To(Equal(uint32(201)))
	})
}
