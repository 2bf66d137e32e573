package targetstatus_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cowsliptiller/coord/targetstatus"
)

func reportedTarget(instance, model string) targetstatus.Status {
	s := listed(instance, "10.0.0.1:"+instance[2:])
	s.Reported, s.Agent = true, "agent-of-"+instance
	s.Models = []targetstatus.HeldModel{{Name: model}}
	s.CachedModels = []string{model}
	return s
}

// Guards against a new leader's incomplete table replacing a host's complete copy.
func TestIncompleteTableRemovesNoTargets(t *testing.T) {
	g := NewWithT(t)
	k := targetstatus.NewTableCache()
	k.Apply(targetstatus.Update{Whole: true, Changed: []targetstatus.Status{reportedTarget("i-1", "rare"), reportedTarget("i-2", "busy")}})

	g.Expect(k.Apply(targetstatus.Update{Whole: true, Incomplete: true})).To(BeEmpty())
	g.Expect(k.Get("i-1").Models).To(HaveLen(1))

	// A new leader reads the list before it has reports: agents and local copies are missing.
	fromList := listed("i-1", "10.0.0.1:1")
	fromList.Draining = true
	changes := k.Apply(targetstatus.Update{Changed: []targetstatus.Status{fromList}, Incomplete: true})
	g.Expect(changes).To(HaveLen(1))
	g.Expect(k.Get("i-1")).To(And(HaveField("Agent", "agent-of-i-1"), HaveField("Draining", true), HaveField("Reported", true)))
	g.Expect(k.Get("i-1").CachedModels).To(ConsistOf("rare"))
}

// Guards against routing to targets that were removed during a leader change.
func TestCompleteTableRemovesStaleTargets(t *testing.T) {
	g := NewWithT(t)
	k := targetstatus.NewTableCache()
	k.Apply(targetstatus.Update{Whole: true, Changed: []targetstatus.Status{reportedTarget("i-1", "rare"), reportedTarget("i-2", "busy")}})
	k.Apply(targetstatus.Update{Whole: true, Incomplete: true, Changed: []targetstatus.Status{reportedTarget("i-2", "busy")}})

	complete := targetstatus.Update{}
	k.Apply(complete)
	g.Expect(k.NeedsFullSync(complete)).To(BeTrue(), "the entire table must be requested")
	whole := targetstatus.Update{Whole: true, Changed: []targetstatus.Status{reportedTarget("i-2", "busy")}}
	changes := k.Apply(whole)
	g.Expect(changes).To(HaveLen(1))
	g.Expect(changes[0].Removed).To(BeTrue())
	g.Expect(k.Get("i-1")).To(BeNil())
	g.Expect(k.NeedsFullSync(whole)).To(BeFalse())
}

// Guards against a table that counts as complete before the agents of all listed targets of
// services with models have reported.
func TestTableIsCompleteWhenAllAgentsHaveReported(t *testing.T) {
	g := NewWithT(t)
	start := now
	table, use := targetstatus.NewTable(1), targetstatus.NewRateMeter(start)
	g.Expect(targetstatus.Incomplete(table, use, runsModels, start)).To(BeTrue(), "the list was not read yet")

	first, second := listed("i-1", "10.0.0.1:1"), listed("i-2", "10.0.0.2:1")
	plain := listed("i-3", "10.0.0.3:1")
	plain.Service = "plain"
	table.SetList([]targetstatus.Status{first, second, plain}, start)
	table.Report(first, true, start)
	g.Expect(targetstatus.Incomplete(table, use, runsModels, start)).To(BeTrue())
	table.Report(second, true, start)
	g.Expect(targetstatus.Incomplete(table, use, runsModels, start)).To(BeFalse())
}

// Guards against a table that never counts as complete while an agent is down.
func TestTableIsCompleteAfterTimeout(t *testing.T) {
	g := NewWithT(t)
	table, use := targetstatus.NewTable(1), targetstatus.NewRateMeter(now)
	g.Expect(targetstatus.Incomplete(table, use, runsModels, now.Add(4*time.Second))).To(BeFalse())
	first := listed("i-1", "10.0.0.1:1")
	table.SetList([]targetstatus.Status{first}, now)
	g.Expect(targetstatus.Incomplete(table, use, runsModels, now.Add(time.Second))).To(BeFalse())
}

func runsModels(service string) bool { return service == "s" }

// Guards against losing a target's models when only its load is updated.
func TestLoadUpdateKeepsOtherFields(t *testing.T) {
	g := NewWithT(t)
	k := targetstatus.NewTableCache()
	k.Apply(targetstatus.Update{Whole: true, Changed: []targetstatus.Status{reportedTarget("i-1", "rare")}})
	before := k.Get("i-1")
	load := targetstatus.LoadUpdate{Instance: "i-1", Version: 7, Load: targetstatus.Load{Running: 5, Queued: 2}}
	unknown := targetstatus.LoadUpdate{Instance: "i-9", Version: 7}
	g.Expect(k.Apply(targetstatus.Update{Loads: []targetstatus.LoadUpdate{load, unknown}})).To(BeEmpty())
	g.Expect(k.Get("i-1")).To(And(HaveField("Running", 5), HaveField("Version", uint64(7)), HaveField("Models", HaveLen(1))))
	g.Expect(before.Running).To(BeZero(), "readers may hold a pointer to the previous row")
	g.Expect(k.Get("i-9")).To(BeNil())
}
